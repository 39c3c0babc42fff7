//! What instances tell each other about streams and engines.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as message;

use crate::follow;
use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::homes::DONE_INTERVAL;
use crate::homes::HomeKey;
use crate::homes::Homes;
use crate::homes::REPORT_INTERVAL;
use crate::homes::local::Cell;
use crate::homes::wire::held;
use crate::orders::CANDIDATES;
use crate::orders::DUTY;
use crate::peers::Instance;

impl Homes {
    /// Tells the homes which streams have ended, until the task is ended.
    pub async fn tell_ended(&self, gateway: &Gateway) {
        loop {
            self.ended.notified().await;
            tokio::time::sleep(DONE_INTERVAL).await;
            let ended: Vec<(HomeKey, Vec<u64>)> = {
                let mut accounts = self.accounts.lock();
                let full = accounts.iter_mut().filter(|(_, a)| !a.done.is_empty());
                full.map(|(key, a)| (key.clone(), std::mem::take(&mut a.done)))
                    .collect()
            };
            let calls = ended.into_iter().map(|(key, numbers)| async move {
                let keeper = gateway.peers.home(&key);
                if keeper.name == gateway.peers.me().name {
                    self.done_local(&key, "", &numbers);
                    return;
                }
                let req = Request::Paths(message::Message::Done(key.to_string(), numbers));
                // What is lost here, the next report mends.
                let _ = gateway.peers.call(&keeper, req).await;
            });
            futures::future::join_all(calls).await;
        }
    }

    /// Reports the running streams to their homes, now and then and whenever the keeper
    /// of a home has changed, until the task is ended.
    pub async fn report(&self, gateway: &Gateway) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let keys: Vec<HomeKey> = self.accounts.lock().keys().cloned().collect();
            let calls = keys.iter().map(|key| self.report_to(gateway, key));
            futures::future::join_all(calls).await;
        }
    }

    pub(super) async fn report_to(&self, gateway: &Gateway, key: &HomeKey) {
        let keeper = gateway.peers.home(key);
        let numbers: Vec<u64> = {
            let mut accounts = self.accounts.lock();
            let account = accounts.entry(key.clone()).or_default();
            if account.running.is_empty() && account.told.as_ref() != Some(&keeper.name) {
                account.told = Some(Arc::clone(&keeper.name));
                return;
            }
            account.told = Some(Arc::clone(&keeper.name));
            account.running.keys().copied().collect()
        };
        let is_mine = keeper.name == gateway.peers.me().name;
        let unknown = match is_mine {
            true => self.running_local(key, "", &numbers),
            false => {
                let req = Request::Paths(message::Message::Running(key.to_string(), numbers));
                match gateway.peers.call(&keeper, req).await {
                    Ok(Reply::Paths(message::Answer::Unknown(unknown))) => unknown,
                    // The next report goes to the next keeper.
                    Ok(_) | Err(_) => return,
                }
            }
        };
        if unknown.is_empty() {
            return;
        }
        let held: Vec<message::Held> = {
            let accounts = self.accounts.lock();
            let running = accounts.get(key).map(|a| &a.running);
            let known = unknown.iter().filter_map(|n| Some((n, running?.get(n)?)));
            known
                .map(|(n, (tokens, path))| held(*n, *tokens, path))
                .collect()
        };
        if is_mine {
            self.adopt_local(key, "", &held);
        } else {
            let req = Request::Paths(message::Message::Held(key.to_string(), held));
            // The next report says it again.
            let _ = gateway.peers.call(&keeper, req).await;
        }
    }

    /// An engine makes no progress or leaves: the keeper of its home hears of it, and so
    /// do all instances with streams over it and those that may give orders.
    pub async fn tell(&self, gateway: &Gateway, fault: Fault) {
        let (addr, message) = match fault {
            Fault::Dead(addr) => (addr, message::Message::Dead(addr)),
            Fault::Leaving(addr) => (addr, message::Message::Leaving(addr)),
        };
        self.tell_concerned(gateway, addr, message).await;
    }

    /// Tells the same instances how slow an engine is.
    pub async fn tell_slow(&self, gateway: &Gateway, addr: SocketAddr, slowness: f64) {
        // Truncation is intended: the value is a small factor.
        let hundredths = (slowness * 100.0) as u32;
        let message = message::Message::Slow(addr, hundredths);
        self.tell_concerned(gateway, addr, message).await;
    }

    /// Tells the keeper of an engine's home, those that may give orders, and all with
    /// streams over the engine.
    async fn tell_concerned(&self, gateway: &Gateway, addr: SocketAddr, message: message::Message) {
        let server = {
            let directory = gateway.directory.read();
            directory.iter().find(|s| s.addr == addr).cloned()
        };
        let Some(server) = server else { return };
        let keeper = gateway.peers.home(&server.service);
        let mut tell: Vec<Instance> = gateway.peers.candidates(DUTY, CANDIDATES);
        if keeper.name != gateway.peers.me().name {
            tell.push(keeper);
        }
        let cells: Vec<Cell> = self.homes.lock().values().cloned().collect();
        for cell in cells {
            let instances = cell.lock().home.instances_over(addr);
            let names = self.names.lock();
            let names = instances.iter().map(|key| names.instances.name(*key));
            tell.extend(names.filter_map(|name| gateway.peers.get(&name)));
        }
        tell.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        tell.dedup();
        let calls = tell.iter().map(|instance| {
            let req = Request::Paths(message.clone());
            gateway.peers.call(instance, req)
        });
        // Who is not reached finds it out by itself.
        futures::future::join_all(calls).await;
    }

    /// An engine's report says which layers it holds, newer than its entry: this instance
    /// hears of it, and so do the keeper of its home and those that may give orders. The
    /// others hear it from the store.
    pub async fn holds(&self, gateway: &Gateway, id: &str, layers: Option<LayerRange>) {
        if !self.holds_local(gateway, id, layers) {
            return;
        }
        let message = message::Message::Holds {
            id: id.to_string(),
            layers: layers.map(|l| (l.start(), l.end())),
        };
        let mut concerned = gateway.peers.candidates(DUTY, CANDIDATES);
        let service = gateway
            .directory
            .read()
            .get(id)
            .map(|s| Arc::clone(&s.service));
        if let Some(service) = service {
            concerned.push(gateway.peers.home(&service));
        }
        concerned.retain(|i| i.name != gateway.peers.me().name);
        concerned.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        concerned.dedup();
        let calls = concerned.iter().map(|instance| {
            gateway
                .peers
                .call(instance, Request::Paths(message.clone()))
        });
        // Who is not reached hears it from the store.
        futures::future::join_all(calls).await;
    }

    /// Takes what an engine's report said of its layers. Returns whether it is news.
    pub(super) fn holds_local(
        &self,
        gateway: &Gateway,
        id: &str,
        layers: Option<LayerRange>,
    ) -> bool {
        let is_news = gateway.directory.write().set_layers(id, layers);
        if is_news {
            info!(gateway.log, "engine holds"; "engine" => id,
                "layers" => layers.map(|l| l.to_string()));
            follow::changed(gateway);
        }
        is_news
    }
}
