//! Conversions between the gateway's types and those of the peer messages.

use std::time::Duration;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::time::Instant;
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
    let until = |at: Instant| u32::try_from(at.since(now).as_millis()).unwrap_or(u32::MAX);
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
    let ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
    message::Answer::Refused(reason, ms)
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
