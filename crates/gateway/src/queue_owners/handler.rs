//! Handles messages to the queue owners that run on this instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::announced::Rate;
use hemlockwind_paths::QueueEntry;
use hemlockwind_paths::QueueEntryId;
use hemlockwind_paths::admission::Caller;
use hemlockwind_paths::admission::RANKS;
use hemlockwind_paths::queue_entry::Reason;
use hemlockwind_paths::reroutes::PendingReroute;
use hemlockwind_platform::engine::Report;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::paths as message;
use hemlockwind_telemetry::histograms::escape_label;

use crate::announcements;
use crate::diagnosis;
use crate::gateway::EngineFault;
use crate::gateway::Gateway;
use crate::limits;
use crate::queue_owners::Exclusion;
use crate::queue_owners::NO_OWNER_RETRY;
use crate::queue_owners::QueueOwnerKey;
use crate::queue_owners::QueueOwners;
use crate::queue_owners::Refusal;
use crate::queue_owners::local;
use crate::queue_owners::local::PathResult;
use crate::queue_owners::local::SharedQueue;
use crate::queue_owners::wire::caller_from_wire;
use crate::queue_owners::wire::not_admitted_to_wire;
use crate::queue_owners::wire::refusal_to_wire;
use crate::queue_owners::wire::reroute_from_wire;
use crate::queue_owners::wire::stage_to_wire;
use crate::slow;

impl QueueOwners {
    /// Requests a path from a local queue owner, for the instance `from`; an empty name
    /// stands for this instance.
    pub(super) async fn request_local(
        &self,
        key: &QueueOwnerKey,
        from: &str,
        request: &message::PathRequest,
        caller: Caller,
    ) -> PathResult {
        let queue = self.queue_owners.lock().get(key).cloned();
        let Some(queue) = queue else {
            return Err(Refusal::new(Reason::NoPath, NO_OWNER_RETRY));
        };
        let now = self.now();
        let caller_data_centre = queue
            .lock()
            .queue_owner
            .engines
            .data_centre(&request.data_centre);
        let queue_entry = {
            let mut names = self.names.lock();
            QueueEntry {
                id: QueueEntryId {
                    instance: names.instances.intern(from),
                    number: request.number,
                },
                caller_data_centre,
                organisation: names.organisations.intern(&request.organisation),
                rank: Rank(request.rank),
                tokens: request.tokens,
                on_time_by: now + Duration::from_millis(request.on_time_ms.into()),
                latest: now + Duration::from_millis(request.latest_ms.into()),
                may_wait: request.may_wait,
            }
        };
        local::request_path(&queue, now, queue_entry, caller).await
    }

    /// Answers a message of another instance.
    pub async fn answer(
        &self,
        gateway: &Arc<Gateway>,
        from: &str,
        message: message::Message,
    ) -> message::Answer {
        let now = self.now();
        match message {
            message::Message::PathRequest(service, request) => {
                let key: QueueOwnerKey = service.into();
                let caller = Caller::default();
                match self.request_local(&key, from, &request, caller).await {
                    Ok(path) => self.granted(&key, &path),
                    // An instance that sends this message may not know the other answer.
                    Err(refusal) => refusal_to_wire(refusal.reason, refusal.retry_after),
                }
            }
            message::Message::AdmissionRequest(service, admission) => {
                let key: QueueOwnerKey = service.into();
                let caller = caller_from_wire(&admission, now);
                let request = &admission.request;
                match self.request_local(&key, from, request, caller).await {
                    Ok(path) => self.granted(&key, &path),
                    Err(refusal) => match &refusal.admission {
                        Some(refusal) => {
                            message::Answer::NotAdmitted(not_admitted_to_wire(refusal))
                        }
                        None => refusal_to_wire(refusal.reason, refusal.retry_after),
                    },
                }
            }
            message::Message::Done(service, numbers) => {
                self.done_local(&service.into(), from, &numbers);
                message::Answer::Done
            }
            message::Message::Running(service, numbers) => {
                let key: QueueOwnerKey = service.into();
                message::Answer::Unknown(self.running_local(&key, from, &numbers))
            }
            message::Message::Held(service, held) => {
                let key: QueueOwnerKey = service.into();
                self.adopt_local(&key, from, &held);
                message::Answer::Done
            }
            message::Message::Reroute(service, reroute) => {
                let key: QueueOwnerKey = service.into();
                match self.reroute_local(&key, from, reroute) {
                    Some(path) => self.granted(&key, &path),
                    None => refusal_to_wire(Reason::NoPath, NO_OWNER_RETRY),
                }
            }
            message::Message::UrgentReroute(service, reroute, urgency) => {
                let key: QueueOwnerKey = service.into();
                match self
                    .urgent_reroute_local(gateway, &key, from, reroute, urgency)
                    .await
                {
                    Some(path) => self.granted(&key, &path),
                    None => refusal_to_wire(Reason::NoPath, NO_OWNER_RETRY),
                }
            }
            message::Message::Refused(service, addr, ms) => {
                let key: QueueOwnerKey = service.into();
                self.refused_local(gateway, &key, addr, Duration::from_millis(ms.into()));
                message::Answer::Done
            }
            message::Message::Announced { id, born_ms } => {
                announcements::apply_leaving(gateway, &id, born_ms);
                message::Answer::Done
            }
            message::Message::NoStarts(service, addr, ms) => {
                let time = Duration::from_millis(ms.into());
                self.exclude_starts_local(&service.into(), addr, time);
                message::Answer::Done
            }
            message::Message::Limits(service, announced) => {
                let key: QueueOwnerKey = service.into();
                for limit in &announced {
                    limits::learn(gateway, &key, limit);
                }
                message::Answer::Done
            }
            message::Message::Permit(_, wanted) => limits::answer_permit(gateway, &wanted),
            message::Message::Dead(addr) => {
                let is_new = self.exclude(now, addr, Exclusion::Dead);
                // Sending fails when no stream runs.
                let _ = gateway.faults.send(EngineFault::Dead(addr));
                if is_new {
                    let gateway = Arc::clone(gateway);
                    let from = from.to_string();
                    tokio::spawn(async move {
                        let queue_owners = &gateway.queue_owners;
                        queue_owners.forward_dead(&gateway, &from, addr).await
                    });
                }
                message::Answer::Done
            }
            message::Message::Holds { id, layers } => {
                let layers = layers.and_then(|(start, end)| LayerRange::new(start, end).ok());
                self.update_layers_local(gateway, &id, layers);
                message::Answer::Done
            }
            message::Message::Slow(addr, hundredths) => {
                slow::record_slowness(gateway, addr, f64::from(hundredths) / 100.0);
                message::Answer::Done
            }
            message::Message::Leaving(addr) => {
                if self.exclude(now, addr, Exclusion::Leaving) {
                    let _ = gateway.faults.send(EngineFault::Leaving(addr));
                }
                message::Answer::Done
            }
        }
    }

    /// Returns the message that grants a path of a local queue owner.
    fn granted(&self, key: &QueueOwnerKey, path: &[Stage]) -> message::Answer {
        let is_limited = self.is_first_limited(key, path);
        let path = path.iter().map(stage_to_wire).collect();
        match is_limited {
            true => message::Answer::GrantedLimited(path),
            false => message::Answer::Granted(path),
        }
    }

    /// Whether the local queue owner knows a limit of the first engine of a path.
    fn is_first_limited(&self, key: &QueueOwnerKey, path: &[Stage]) -> bool {
        let queue = self.queue(key);
        let Some((queue, first)) = queue.zip(path.first()) else {
            return false;
        };
        let engines = &queue.lock().queue_owner.engines;
        let engine = engines.key(&first.id);
        engine.is_some_and(|engine| engines.is_limited(engine))
    }

    /// Records the limit of an engine at the local queue owner of its service. Returns whether
    /// there is one.
    pub fn observe_limit(
        &self,
        key: &QueueOwnerKey,
        id: &str,
        rate: Option<Rate>,
        observed_at: Instant,
    ) -> bool {
        let Some(queue) = self.queue(key) else {
            return false;
        };
        let now = self.now();
        let engines = &mut queue.lock().queue_owner.engines;
        engines.observe_limit(now, id, rate, observed_at);
        true
    }

    pub(super) fn id(&self, from: &str, number: u64) -> QueueEntryId {
        QueueEntryId {
            instance: self.names.lock().instances.intern(from),
            number,
        }
    }

    pub(super) fn queue(&self, key: &QueueOwnerKey) -> Option<SharedQueue> {
        self.queue_owners.lock().get(key).cloned()
    }

    pub(super) fn done_local(&self, key: &QueueOwnerKey, from: &str, numbers: &[u64]) {
        let Some(queue) = self.queue(key) else { return };
        let now = self.now();
        let ids: Vec<QueueEntryId> = numbers.iter().map(|n| self.id(from, *n)).collect();
        let mut local = queue.lock();
        for id in ids {
            local.done(now, id);
        }
        local.poll(now);
    }

    pub(super) fn running_local(
        &self,
        key: &QueueOwnerKey,
        from: &str,
        numbers: &[u64],
    ) -> Vec<u64> {
        let Some(queue) = self.queue(key) else {
            return Vec::new();
        };
        let instance = self.id(from, 0).instance;
        let now = self.now();
        queue
            .lock()
            .queue_owner
            .reconcile_running(now, instance, numbers)
    }

    pub(super) fn adopt_local(&self, key: &QueueOwnerKey, from: &str, held: &[message::Held]) {
        let Some(queue) = self.queue(key) else { return };
        let instance = self.id(from, 0).instance;
        let now = self.now();
        let mut local = queue.lock();
        for stream in held {
            local.adopt(now, instance, stream);
        }
    }

    pub(super) fn reroute_local(
        &self,
        key: &QueueOwnerKey,
        from: &str,
        reroute: message::Reroute,
    ) -> Option<Vec<Stage>> {
        let queue = self.queue(key)?;
        let id = self.id(from, reroute.number);
        let reroute = reroute_from_wire(reroute);
        let now = self.now();
        queue.lock().reroute(now, id, reroute)
    }

    /// Requests another path for a running stream from a local queue owner and waits for the
    /// decision on the batch.
    pub(super) async fn urgent_reroute_local(
        &self,
        gateway: &Gateway,
        key: &QueueOwnerKey,
        from: &str,
        reroute: message::Reroute,
        urgency: message::Urgency,
    ) -> Option<Vec<Stage>> {
        let queue = self.queue(key)?;
        let now = self.now();
        let silent = Duration::from_millis(urgency.silent_ms.into());
        let request = PendingReroute {
            id: self.id(from, reroute.number),
            reroute: reroute_from_wire(reroute),
            rank: Rank(urgency.rank),
            silent_since: Instant::from_millis(
                now.since(Instant::ZERO).saturating_sub(silent).as_millis() as u64,
            ),
            leaves_at: now + Duration::from_millis(urgency.leaves_in_ms.into()),
        };
        local::reroute_in_batch(&queue, &self.clock, &gateway.tasks, request).await
    }

    /// Records that an engine of a local queue owner refused a path. An engine that keeps
    /// refusing is asked for a report: it may lack memory, or it may be leaving while the
    /// directory does not show that.
    pub(super) fn refused_local(
        &self,
        gateway: &Arc<Gateway>,
        key: &QueueOwnerKey,
        addr: SocketAddr,
        time: Duration,
    ) {
        let Some(queue) = self.queue(key) else { return };
        let now = self.now();
        let is_examination_due = queue.lock().refused(now, addr, time);
        if is_examination_due && !self.is_excluded(now, addr) {
            let gateway = Arc::clone(gateway);
            tokio::spawn(async move { diagnosis::examine(&gateway, addr).await });
        }
    }

    /// Excludes an engine of a local queue owner as the first stage of paths for `time`.
    pub(super) fn exclude_starts_local(
        &self,
        key: &QueueOwnerKey,
        addr: SocketAddr,
        time: Duration,
    ) {
        let Some(queue) = self.queue(key) else { return };
        let now = self.now();
        let engines = &mut queue.lock().queue_owner.engines;
        engines.exclude_starts(addr, now + time);
    }

    /// Starts or refuses the waiting entries that can be decided now.
    pub fn poll(&self, now: Instant) {
        let queues: Vec<SharedQueue> = self.queue_owners.lock().values().cloned().collect();
        for queue in queues {
            queue.lock().poll(now);
        }
    }

    /// Returns the waiting entries of each rank and the memory that is kept free for more urgent
    /// requests, in tokens x layers, over all local queue owners. Both are 0 under the standard
    /// policy.
    pub fn admission_load(&self) -> ([usize; RANKS], f64) {
        let now = self.now();
        let queues: Vec<SharedQueue> = self.queue_owners.lock().values().cloned().collect();
        let mut load = ([0; RANKS], 0.0);
        for queue in queues {
            let local = queue.lock();
            let waiting = local.queue_owner.waiting_by_rank();
            for (sum, waiting) in load.0.iter_mut().zip(waiting) {
                *sum += waiting;
            }
            load.1 += local.queue_owner.reserved_for_urgent(now);
        }
        load
    }

    /// Logs the state of the queue owners that run on this instance.
    pub fn log_state(&self, gateway: &Gateway) {
        let now = self.now();
        let queues: Vec<(QueueOwnerKey, SharedQueue)> = {
            let queue_owners = self.queue_owners.lock();
            queue_owners
                .iter()
                .map(|(key, queue)| (key.clone(), Arc::clone(queue)))
                .collect()
        };
        for (key, queue) in queues {
            if gateway.peers.queue_owner(&key).name != gateway.peers.me().name {
                continue;
            }
            let local = queue.lock();
            info!(gateway.log, "queue owner state"; "service" => &*key,
                "running" => local.queue_owner.running(), "waiting" => local.queue_owner.waiting(),
                "engines" => local.summary(now));
        }
    }

    /// Logs the starts outside the data centres of their callers that have begun or ended, and
    /// the reroutes that wait.
    pub fn log_load(&self, gateway: &Gateway, now: Instant) {
        let queues: Vec<SharedQueue> = self.queue_owners.lock().values().cloned().collect();
        for queue in queues {
            let mut local = queue.lock();
            let owner = &mut local.queue_owner;
            let waiting = owner.waiting_reroutes();
            if waiting > 0
                && let Some(left_out) = gateway.lines.take(now, "moves_waiting")
            {
                info!(gateway.log, "moves waiting"; "count" => waiting,
                    "reserved_tokens" => owner.reserved_tokens(now) as u64, "left_out" => left_out);
            }
            for spill in owner.take_spill_changes(now) {
                let Some(left_out) = gateway.lines.take(now, "spill") else {
                    continue;
                };
                let name = |data_centre| owner.engines.data_centre_name(data_centre);
                info!(gateway.log, "{}", if spill.is_begin { "spill" } else { "spill ended" };
                    "from" => &*name(spill.from), "to" => &*name(spill.to),
                    "load_from" => spill.loads.0, "load_to" => spill.loads.1,
                    "starts" => spill.starts, "left_out" => left_out);
            }
        }
    }

    /// Returns the metrics of the queue owners' load decisions in text form.
    pub fn render_load(&self, now: Instant) -> String {
        let mut text = String::new();
        let queues: Vec<SharedQueue> = self.queue_owners.lock().values().cloned().collect();
        let mut reserved = 0.0;
        for queue in queues {
            let local = queue.lock();
            let owner = &local.queue_owner;
            reserved += owner.reserved_tokens(now);
            for (from, to, starts) in owner.spilled_starts() {
                let from = escape_label(&owner.engines.data_centre_name(from));
                let to = escape_label(&owner.engines.data_centre_name(to));
                text.push_str(&format!(
                    "hemlockwind_starts_spilled_total{{from=\"{from}\",to=\"{to}\"}} {starts}\n"
                ));
            }
        }
        text.push_str(&format!(
            "hemlockwind_reroute_reserve_tokens {reserved:.0}\n"
        ));
        text
    }

    /// Returns the services of this instance's queue owners that have gained (`true`) or
    /// lost a whole path since the last call.
    pub fn path_changes(&self, gateway: &Gateway, now: Instant) -> Vec<(Arc<str>, bool)> {
        let queue_owners = self.queue_owners.lock();
        let me = &gateway.peers.me().name;
        let owned = queue_owners
            .iter()
            .filter(|(service, _)| gateway.peers.queue_owner(service).name == *me);
        let changes = owned.filter_map(|(service, queue)| {
            let has_path = queue.lock().take_path_change(now)?;
            Some((Arc::clone(service), has_path))
        });
        changes.collect()
    }

    /// Sets the data centres whose engines can't be reached from this instance.
    pub fn set_cut_off(&self, data_centres: &[Arc<str>]) {
        *self.cut_off.lock() = data_centres.to_vec();
        for queue in self.queue_owners.lock().values() {
            queue.lock().queue_owner.engines.set_cut_off(data_centres);
        }
    }

    /// Sets how slow an engine is, valid until `until`.
    pub fn set_slowness(&self, addr: SocketAddr, slowness: f64, until: Instant) {
        for queue in self.queue_owners.lock().values() {
            let engines = &mut queue.lock().queue_owner.engines;
            engines.set_slowness(addr, slowness, until);
        }
    }

    /// Updates the memory of an engine from its report.
    pub fn update_memory(&self, now: Instant, addr: SocketAddr, report: &Report) {
        for queue in self.queue_owners.lock().values() {
            let engines = &mut queue.lock().queue_owner.engines;
            engines.record_report(now, addr, report.capacity, report.capacity_used);
        }
    }
}
