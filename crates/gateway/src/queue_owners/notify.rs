//! Notifies other instances about streams and engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as message;

use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::merge;
use crate::orders::CANDIDATES;
use crate::orders::ORDERS_ASSIGNMENT;
use crate::peers::Instance;
use crate::queue_owners::DONE_INTERVAL;
use crate::queue_owners::QueueOwnerKey;
use crate::queue_owners::QueueOwners;
use crate::queue_owners::REPORT_INTERVAL;
use crate::queue_owners::local::SharedQueue;
use crate::queue_owners::wire::held_to_wire;

/// Time in which an engine that another instance found dead has to answer the queue owner, so that
/// the streams of the other instances stay.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

impl QueueOwners {
    /// Reports ended streams to their queue owners, until the task is ended.
    pub async fn report_ended(&self, gateway: &Gateway) {
        loop {
            self.ended.notified().await;
            tokio::time::sleep(DONE_INTERVAL).await;
            let ended: Vec<(QueueOwnerKey, Vec<u64>)> = {
                let mut streams = self.streams.lock();
                let with_ended = streams.iter_mut().filter(|(_, s)| !s.done.is_empty());
                with_ended
                    .map(|(key, s)| (key.clone(), std::mem::take(&mut s.done)))
                    .collect()
            };
            let calls = ended.into_iter().map(|(key, numbers)| async move {
                let owner = gateway.peers.queue_owner(&key);
                if owner.name == gateway.peers.me().name {
                    self.done_local(&key, "", &numbers);
                    return;
                }
                let req = Request::Paths(message::Message::Done(key.to_string(), numbers));
                // The next report of the running streams corrects a lost message.
                let _ = gateway.peers.call(&owner, req).await;
            });
            futures::future::join_all(calls).await;
        }
    }

    /// Reports the running streams to their queue owners at intervals, so that a new
    /// owner receives them too, until the task is ended.
    pub async fn report_running(&self, gateway: &Gateway) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let keys: Vec<QueueOwnerKey> = self.streams.lock().keys().cloned().collect();
            let calls = keys.iter().map(|key| self.report_to(gateway, key));
            futures::future::join_all(calls).await;
        }
    }

    /// Reports the running streams of a service to its queue owner, then describes those
    /// that the owner has no record of.
    pub(super) async fn report_to(&self, gateway: &Gateway, key: &QueueOwnerKey) {
        let owner = gateway.peers.queue_owner(key);
        let numbers: Vec<u64> = {
            let mut streams = self.streams.lock();
            let service_streams = streams.entry(key.clone()).or_default();
            // A new owner has no record that an empty report would correct.
            if service_streams.running.is_empty()
                && service_streams.reported_to.as_ref() != Some(&owner.name)
            {
                service_streams.reported_to = Some(Arc::clone(&owner.name));
                return;
            }
            service_streams.reported_to = Some(Arc::clone(&owner.name));
            service_streams.running.keys().copied().collect()
        };
        let unknown = match owner.name == gateway.peers.me().name {
            true => self.running_local(key, "", &numbers),
            false => {
                let req = Request::Paths(message::Message::Running(key.to_string(), numbers));
                match gateway.peers.call(&owner, req).await {
                    Ok(Reply::Paths(message::Answer::Unknown(unknown))) => unknown,
                    // The next report goes to the next owner.
                    Ok(_) | Err(_) => return,
                }
            }
        };
        if !unknown.is_empty() {
            self.report_held(gateway, key, &unknown).await;
        }
    }

    /// Describes running streams, given by number, to their queue owner.
    pub(super) async fn report_held(
        &self,
        gateway: &Gateway,
        key: &QueueOwnerKey,
        numbers: &[u64],
    ) {
        let owner = gateway.peers.queue_owner(key);
        self.report_held_to(gateway, &owner, key, numbers).await;
    }

    /// Describes running streams, given by number, to the instance `owner`.
    pub(super) async fn report_held_to(
        &self,
        gateway: &Gateway,
        owner: &Instance,
        key: &QueueOwnerKey,
        numbers: &[u64],
    ) {
        let held: Vec<message::Held> = {
            let streams = self.streams.lock();
            let running = streams.get(key).map(|s| &s.running);
            let recorded = numbers.iter().filter_map(|n| Some((n, running?.get(n)?)));
            recorded
                .map(|(n, (tokens, path))| held_to_wire(*n, *tokens, path))
                .collect()
        };
        if owner.name == gateway.peers.me().name {
            self.adopt_local(key, "", &held);
        } else {
            let req = Request::Paths(message::Message::Held(key.to_string(), held));
            // A stream that the owner has no record of is described again after the next report.
            let _ = gateway.peers.call(owner, req).await;
        }
    }

    /// Reports that an engine makes no progress or leaves to the instances that are
    /// affected by that.
    pub async fn notify_fault(&self, gateway: &Gateway, fault: EngineFault) {
        let (addr, message) = match fault {
            EngineFault::Dead(addr) => (addr, message::Message::Dead(addr)),
            EngineFault::Leaving(addr) => (addr, message::Message::Leaving(addr)),
        };
        self.notify_affected(gateway, addr, message).await;
    }

    /// Reports that a server announced that it leaves to the instances that are affected by that.
    pub async fn notify_announced(&self, gateway: &Gateway, server: &BackendServer) {
        let message = message::Message::Announced {
            id: server.id.to_string(),
            born_ms: server.born_ms,
        };
        self.notify_affected(gateway, server.addr, message).await;
    }

    /// Reports how slow an engine is to the instances that are affected by that.
    pub async fn notify_slow(&self, gateway: &Gateway, addr: SocketAddr, slowness: f64) {
        // Truncation is intended: the value is a small factor.
        let hundredths = (slowness * 100.0) as u32;
        let message = message::Message::Slow(addr, hundredths);
        self.notify_affected(gateway, addr, message).await;
    }

    /// Sends `message` to the owner of an engine's queue, to the instances that may issue
    /// orders and, if the owner's record is on this instance, to the instances with streams
    /// on the engine.
    async fn notify_affected(
        &self,
        gateway: &Gateway,
        addr: SocketAddr,
        message: message::Message,
    ) {
        let server = {
            let directory = gateway.directory.read();
            directory.at(addr).cloned()
        };
        let Some(server) = server else { return };
        let owner = gateway.peers.queue_owner(&server.service);
        let mut notified: Vec<Instance> = gateway.peers.candidates(ORDERS_ASSIGNMENT, CANDIDATES);
        if owner.name != gateway.peers.me().name {
            notified.push(owner);
        }
        notified.extend(self.instances_using(gateway, addr));
        notified.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        notified.dedup();
        let calls = notified.iter().map(|instance| {
            let req = Request::Paths(message.clone());
            gateway.peers.call(instance, req)
        });
        // An instance that is not reached detects the fault by itself.
        futures::future::join_all(calls).await;
    }

    /// Sends a report that an engine makes no progress on to the instances with streams on the
    /// engine. Only the queue owner has a record of them, so it does this for the instance
    /// `from`, which found the engine dead.
    pub(super) async fn forward_dead(&self, gateway: &Gateway, from: &str, addr: SocketAddr) {
        let mut notified = self.instances_using(gateway, addr);
        notified.retain(|instance| *instance.name != *from);
        if notified.is_empty() {
            return;
        }
        // An instance on a small share of a core may itself be too late for the engine's answer.
        // Forwarded, its error would move the streams of all instances, and each of them is read
        // again on other engines.
        let report = gateway.reports.get(&gateway.http, addr);
        if let Ok(Ok(_)) = timeout(CONFIRM_TIMEOUT, report).await {
            gateway.counters.add("dead_engines_not_confirmed");
            return;
        }
        gateway.counters.add("dead_engines_forwarded");
        let calls = notified.iter().map(|instance| {
            let req = Request::Paths(message::Message::Dead(addr));
            gateway.peers.call(instance, req)
        });
        // An instance that is not reached detects the fault by itself.
        futures::future::join_all(calls).await;
    }

    /// Returns the other instances with streams on the engine at `addr`, by the record of the
    /// queue owners that run on this instance.
    fn instances_using(&self, gateway: &Gateway, addr: SocketAddr) -> Vec<Instance> {
        let queues: Vec<SharedQueue> = self.queue_owners.lock().values().cloned().collect();
        let mut using = Vec::new();
        for queue in queues {
            let instances = queue.lock().queue_owner.instances_using(addr);
            let names = self.names.lock();
            let names = instances.iter().map(|key| names.instances.name(*key));
            using.extend(names.filter_map(|name| gateway.peers.get(&name)));
        }
        using.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        using.dedup();
        using
    }

    /// Updates the layers of an engine from its report, which is newer than its entry: on
    /// this instance, at the owner of its queue and at the instances that may issue orders.
    /// The others receive the layers from the store.
    pub async fn update_layers(&self, gateway: &Gateway, id: &str, layers: Option<LayerRange>) {
        if !self.update_layers_local(gateway, id, layers) {
            return;
        }
        let message = message::Message::Holds {
            id: id.to_string(),
            layers: layers.map(|l| (l.start(), l.end())),
        };
        let mut notified = gateway.peers.candidates(ORDERS_ASSIGNMENT, CANDIDATES);
        let service = gateway
            .directory
            .read()
            .get(id)
            .map(|s| Arc::clone(&s.service));
        if let Some(service) = service {
            notified.push(gateway.peers.queue_owner(&service));
        }
        notified.retain(|i| i.name != gateway.peers.me().name);
        notified.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        notified.dedup();
        let calls = notified.iter().map(|instance| {
            gateway
                .peers
                .call(instance, Request::Paths(message.clone()))
        });
        // An instance that is not reached receives the layers from the store.
        futures::future::join_all(calls).await;
    }

    /// Updates the layers of an engine on this instance. Returns whether they have
    /// changed.
    pub(super) fn update_layers_local(
        &self,
        gateway: &Gateway,
        id: &str,
        layers: Option<LayerRange>,
    ) -> bool {
        let is_changed = gateway.directory.write().set_layers(id, layers);
        if is_changed {
            info!(gateway.log, "engine layers changed"; "engine" => id,
                "layers" => layers.map(|l| l.to_string()));
            merge::refresh_queue_owners(gateway);
        }
        is_changed
    }
}
