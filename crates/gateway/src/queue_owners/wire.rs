//! Conversions between the gateway's types and those of the peer messages.

use std::time::Duration;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::admission;
use hemlockwind_paths::admission::Caller;
use hemlockwind_paths::admission::Cause;
use hemlockwind_paths::queue_entry::Reason;
use hemlockwind_paths::queue_owner::Crossing;
use hemlockwind_paths::queue_owner::Reroute;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::paths as message;

use crate::queue_owners::PathRequest;

pub(super) fn path_request_to_wire(
    request: &PathRequest,
    data_centre: &str,
    number: u64,
    now: Instant,
) -> message::PathRequest {
    let until = |at: Instant| to_ms(at.since(now));
    message::PathRequest {
        number,
        data_centre: data_centre.to_string(),
        organisation: request.organisation.to_string(),
        rank: request.rank.0,
        tokens: request.tokens,
        on_time_ms: until(request.on_time_by),
        latest_ms: until(request.latest),
        may_wait: request.may_wait,
    }
}

pub(super) fn caller_to_wire(
    caller: Caller,
    request: &message::PathRequest,
    now: Instant,
) -> message::AdmissionRequest {
    let left = caller.deadline.map_or(Duration::ZERO, |d| d.since(now));
    message::AdmissionRequest {
        request: request.clone(),
        fingerprint: caller.fingerprint,
        deadline_ms: to_ms(left),
        route_rank: caller.route_rank.map_or(request.rank, |rank| rank.0),
    }
}

pub(super) fn caller_from_wire(request: &message::AdmissionRequest, now: Instant) -> Caller {
    Caller {
        fingerprint: request.fingerprint,
        deadline: Some(now + Duration::from_millis(request.deadline_ms.into())),
        route_rank: Some(Rank(request.route_rank)),
    }
}

pub(super) fn not_admitted_to_wire(refusal: &admission::Refusal) -> message::NotAdmitted {
    message::NotAdmitted {
        cause: match refusal.cause {
            Cause::NoPath => message::Cause::NoPath,
            Cause::Arrival => message::Cause::Arrival,
            Cause::Waiting => message::Cause::Waiting,
            Cause::Expired => message::Cause::Expired,
            Cause::QueueFull => message::Cause::QueueFull,
        },
        rank: refusal.rank.0,
        tokens_in_progress: refusal.tokens_in_progress as u64,
        expected_wait_ms: to_ms(refusal.expected_wait),
        time_left_ms: to_ms(refusal.time_left),
        retry_ms: to_ms(refusal.retry_after),
        was_refused: refusal.was_refused,
    }
}

pub(super) fn not_admitted_from_wire(refusal: &message::NotAdmitted) -> admission::Refusal {
    admission::Refusal {
        cause: match refusal.cause {
            message::Cause::NoPath => Cause::NoPath,
            message::Cause::Arrival => Cause::Arrival,
            message::Cause::Waiting => Cause::Waiting,
            message::Cause::Expired => Cause::Expired,
            message::Cause::QueueFull => Cause::QueueFull,
        },
        rank: Rank(refusal.rank),
        tokens_in_progress: refusal.tokens_in_progress as f64,
        expected_wait: Duration::from_millis(refusal.expected_wait_ms.into()),
        time_left: Duration::from_millis(refusal.time_left_ms.into()),
        retry_after: Duration::from_millis(refusal.retry_ms.into()),
        was_refused: refusal.was_refused,
    }
}

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn stage_to_wire(stage: &Stage) -> message::Stage {
    message::Stage {
        id: stage.id.to_string(),
        addr: stage.addr,
        start: stage.layers.start(),
        end: stage.layers.end(),
    }
}

pub(super) fn stage_from_wire(stage: message::Stage) -> Option<Stage> {
    Some(Stage {
        id: stage.id.into(),
        addr: stage.addr,
        layers: LayerRange::new(stage.start, stage.end).ok()?,
    })
}

pub(super) fn held_to_wire(number: u64, tokens: u32, path: &[Stage]) -> message::Held {
    message::Held {
        number,
        tokens,
        path: path.iter().map(stage_to_wire).collect(),
    }
}

pub(super) fn refusal_to_wire(reason: Reason, wait: Duration) -> message::Answer {
    let reason = match reason {
        Reason::NoPath => message::Reason::NoPath,
        Reason::WaitTooLong => message::Reason::WaitTooLong,
        Reason::Expired => message::Reason::Expired,
    };
    message::Answer::Refused(reason, to_ms(wait))
}

pub(super) const fn reason_from_wire(reason: message::Reason) -> Reason {
    match reason {
        message::Reason::NoPath => Reason::NoPath,
        message::Reason::WaitTooLong => Reason::WaitTooLong,
        message::Reason::Expired => Reason::Expired,
    }
}

pub(super) const fn reroute_to_wire(reroute: Reroute, number: u64) -> message::Reroute {
    message::Reroute {
        number,
        must_fit: reroute.must_fit,
        keeps_first: reroute.keeps_first,
        crossing: match reroute.crossing {
            Crossing::Free => message::Crossing::Free,
            Crossing::NoMore => message::Crossing::NoMore,
            Crossing::None => message::Crossing::None,
        },
    }
}

pub(super) const fn reroute_from_wire(reroute: message::Reroute) -> Reroute {
    Reroute {
        must_fit: reroute.must_fit,
        keeps_first: reroute.keeps_first,
        crossing: match reroute.crossing {
            message::Crossing::Free => Crossing::Free,
            message::Crossing::NoMore => Crossing::NoMore,
            message::Crossing::None => Crossing::None,
        },
    }
}
