//! What the keeper of a home does for the other instances and for itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::Ticket;
use hemlockwind_paths::TicketId;
use hemlockwind_paths::ticket::Reason;
use hemlockwind_platform::engine::Report;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::paths as message;

use crate::doubt;
use crate::gateway::Fault;
use crate::gateway::Gateway;
use crate::homes::HomeKey;
use crate::homes::Homes;
use crate::homes::NO_HOME_RETRY;
use crate::homes::local;
use crate::homes::local::Cell;
use crate::homes::local::Decided;
use crate::homes::wire::detour_from_wire;
use crate::homes::wire::refused;
use crate::homes::wire::stage_to_wire;
use crate::slow;

impl Homes {
    /// Asks the home that this instance keeps, for itself or for `from`.
    pub(super) async fn ask_local(&self, key: &HomeKey, from: &str, ask: &message::Ask) -> Decided {
        let cell = self.homes.lock().get(key).cloned();
        let Some(cell) = cell else {
            return Err((Reason::NoPath, NO_HOME_RETRY));
        };
        let now = self.now();
        let near = cell.lock().home.engines.data_centre(&ask.data_centre);
        let ticket = {
            let mut names = self.names.lock();
            Ticket {
                id: TicketId {
                    instance: names.instances.intern(from),
                    number: ask.number,
                },
                near,
                organisation: names.organisations.intern(&ask.organisation),
                rank: Rank(ask.rank),
                tokens: ask.tokens,
                on_time_by: now + Duration::from_millis(ask.on_time_ms.into()),
                latest: now + Duration::from_millis(ask.latest_ms.into()),
                may_wait: ask.may_wait,
            }
        };
        local::ask(&cell, now, ticket).await
    }

    /// Answers another instance.
    pub async fn answer(
        &self,
        gateway: &Arc<Gateway>,
        from: &str,
        message: message::Message,
    ) -> message::Answer {
        let now = self.now();
        match message {
            message::Message::Ask(of, ask) => {
                let key: HomeKey = of.into();
                match self.ask_local(&key, from, &ask).await {
                    Ok(path) => message::Answer::Granted(path.iter().map(stage_to_wire).collect()),
                    Err((reason, wait)) => refused(reason, wait),
                }
            }
            message::Message::Done(of, numbers) => {
                self.done_local(&of.into(), from, &numbers);
                message::Answer::Done
            }
            message::Message::Running(of, numbers) => {
                let key: HomeKey = of.into();
                message::Answer::Unknown(self.running_local(&key, from, &numbers))
            }
            message::Message::Held(of, held) => {
                let key: HomeKey = of.into();
                self.adopt_local(&key, from, &held);
                message::Answer::Done
            }
            message::Message::Detour(of, detour) => {
                let key: HomeKey = of.into();
                match self.detour_local(&key, from, detour) {
                    Some(path) => {
                        message::Answer::Granted(path.iter().map(stage_to_wire).collect())
                    }
                    None => refused(Reason::NoPath, NO_HOME_RETRY),
                }
            }
            message::Message::Refused(of, addr, ms) => {
                let key: HomeKey = of.into();
                self.refused_local(gateway, &key, addr, Duration::from_millis(ms.into()));
                message::Answer::Done
            }
            message::Message::Dead(addr) => {
                self.shun(now, addr);
                // Nobody listens when no stream runs.
                let _ = gateway.faults.send(Fault::Dead(addr));
                message::Answer::Done
            }
            message::Message::Holds { id, layers } => {
                let layers = layers.and_then(|(start, end)| LayerRange::new(start, end).ok());
                self.holds_local(gateway, &id, layers);
                message::Answer::Done
            }
            message::Message::Slow(addr, hundredths) => {
                slow::take(gateway, addr, f64::from(hundredths) / 100.0);
                message::Answer::Done
            }
            message::Message::Leaving(addr) => {
                if self.shun(now, addr) {
                    let _ = gateway.faults.send(Fault::Leaving(addr));
                }
                message::Answer::Done
            }
        }
    }

    pub(super) fn id(&self, from: &str, number: u64) -> TicketId {
        TicketId {
            instance: self.names.lock().instances.intern(from),
            number,
        }
    }

    pub(super) fn cell(&self, key: &HomeKey) -> Option<Cell> {
        self.homes.lock().get(key).cloned()
    }

    pub(super) fn done_local(&self, key: &HomeKey, from: &str, numbers: &[u64]) {
        let Some(cell) = self.cell(key) else { return };
        let now = self.now();
        let ids: Vec<TicketId> = numbers.iter().map(|n| self.id(from, *n)).collect();
        let mut local = cell.lock();
        for id in ids {
            local.done(now, id);
        }
        local.poll(now);
    }

    pub(super) fn running_local(&self, key: &HomeKey, from: &str, numbers: &[u64]) -> Vec<u64> {
        let Some(cell) = self.cell(key) else {
            return Vec::new();
        };
        let instance = self.id(from, 0).instance;
        let now = self.now();
        cell.lock().home.running_at(now, instance, numbers)
    }

    pub(super) fn adopt_local(&self, key: &HomeKey, from: &str, held: &[message::Held]) {
        let Some(cell) = self.cell(key) else { return };
        let instance = self.id(from, 0).instance;
        let now = self.now();
        let mut local = cell.lock();
        for one in held {
            local.adopt(now, instance, one);
        }
    }

    pub(super) fn detour_local(
        &self,
        key: &HomeKey,
        from: &str,
        detour: message::Detour,
    ) -> Option<Vec<Stage>> {
        let cell = self.cell(key)?;
        let id = self.id(from, detour.number);
        let by = detour_from_wire(detour);
        let now = self.now();
        cell.lock().detour(now, id, by)
    }

    /// An engine of a home that is kept here refused. One that goes on refusing is asked
    /// for a report: it lacks memory, or it leaves and the directory does not tell.
    pub(super) fn refused_local(
        &self,
        gateway: &Arc<Gateway>,
        key: &HomeKey,
        addr: SocketAddr,
        time: Duration,
    ) {
        let Some(cell) = self.cell(key) else { return };
        let now = self.now();
        let is_suspicious = cell.lock().refused(now, addr, time);
        if is_suspicious && !self.is_dead(now, addr) {
            let gateway = Arc::clone(gateway);
            tokio::spawn(async move { doubt::examine(&gateway, addr).await });
        }
    }

    /// Starts and refuses what waits, as far as it can be told now.
    pub fn poll(&self, now: Instant) {
        let cells: Vec<Cell> = self.homes.lock().values().cloned().collect();
        for cell in cells {
            cell.lock().poll(now);
        }
    }

    /// Logs the state of the homes that are kept here.
    pub fn log_state(&self, gateway: &Gateway) {
        let now = self.now();
        let cells: Vec<(HomeKey, Cell)> = {
            let homes = self.homes.lock();
            homes
                .iter()
                .map(|(k, c)| (k.clone(), Arc::clone(c)))
                .collect()
        };
        for (key, cell) in cells {
            if gateway.peers.home(&key).name != gateway.peers.me().name {
                continue;
            }
            let local = cell.lock();
            info!(gateway.log, "home"; "service" => &*key,
                "running" => local.home.running(), "waiting" => local.home.waiting(),
                "engines" => local.summary(now));
        }
    }

    /// Notes whether each home that is kept here has a whole path. Returns the services that
    /// have gained or lost it.
    pub fn turns(&self, gateway: &Gateway, now: Instant) -> Vec<(Arc<str>, bool)> {
        let homes = self.homes.lock();
        let me = &gateway.peers.me().name;
        let kept = homes
            .iter()
            .filter(|(service, _)| gateway.peers.home(service).name == *me);
        let turned = kept.filter_map(|(service, cell)| {
            let has_path = cell.lock().turn(now)?;
            Some((Arc::clone(service), has_path))
        });
        turned.collect()
    }

    /// Takes the data centres whose engines can't be reached from here.
    pub fn set_cut_off(&self, data_centres: &[Arc<str>]) {
        *self.cut_off.lock() = data_centres.to_vec();
        for cell in self.homes.lock().values() {
            cell.lock().home.engines.set_cut_off(data_centres);
        }
    }

    /// Takes how slow an engine is, and until when that is believed.
    pub fn set_slowness(&self, addr: SocketAddr, slowness: f64, until: Instant) {
        for cell in self.homes.lock().values() {
            let engines = &mut cell.lock().home.engines;
            engines.set_slowness(addr, slowness, until);
        }
    }

    /// Takes an engine's report on its memory.
    pub fn report_memory(&self, now: Instant, addr: SocketAddr, report: &Report) {
        for cell in self.homes.lock().values() {
            let engines = &mut cell.lock().home.engines;
            engines.report(now, addr, report.room, report.room_used);
        }
    }
}
