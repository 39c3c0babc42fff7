//! Reports and grants are unchanged after a round trip through their wire form; those out of
//! bounds are refused.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use slotmap::SlotMap;
use uuid::Uuid;

use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_protocol::peer::queueing::Grants;
use hemlockwind_protocol::peer::queueing::Report;
use hemlockwind_queueing::message;
use hemlockwind_queueing::queue_entry;

const NOW: Instant = Instant::from_millis(5_000);

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn report_round_trip(numbers: [u32; 6], whole: bool, running: bool, is_configured: bool) {
        let mut keys = SlotMap::<OrganisationKey, ()>::with_key();
        let organisation = keys.insert(());
        let request = RequestId(Uuid::from_u128(numbers[0].into()));
        let queue_entry = queue_entry::QueueEntry {
            request,
            organisation,
            share: 2.0,
            rank: Rank(numbers[1] as u8),
            cost: numbers[2].into(),
            deadline: NOW + Duration::from_millis(numbers[3].into()),
            running,
        };
        let report = message::Report {
            stamp: message::Stamp { session: 7, number: numbers[4].into() },
            whole,
            queue_entries: vec![queue_entry],
            finished: vec![message::Finished { request, cost: 3 }],
            withdrawn: vec![request],
            credits: numbers[5],
            waiting: 1,
            ..message::Report::default()
        };
        let wire = Report::from_report("p".into(), NOW, report.clone(), |_| "o".into());
        let back = wire.into_report(NOW, |name| {
            (is_configured && name == "o").then_some((organisation, 2.0))
        });
        if numbers[5] > 1 << 10 {
            prop_assert!(back.is_err());
        } else if is_configured {
            prop_assert_eq!(back.unwrap(), report);
        } else {
            prop_assert!(back.unwrap().queue_entries.is_empty());
        }
    }

    #[test]
    fn grants_round_trip(number: u64, credits in 0..2_000_u32, retry_ms: u32, revoke: bool) {
        let request = RequestId(Uuid::from_u128(number.into()));
        let grants = message::Grants {
            stamp: message::Stamp { session: 7, number },
            granted: vec![request],
            refused: vec![queue_entry::Refusal {
                request,
                reason: queue_entry::Reason::DeadlineUnmeetable,
                retry_at: NOW + Duration::from_millis(retry_ms.into()),
            }],
            credits,
            revoke,
            waits: vec![Duration::from_millis(9)],
            ..message::Grants::default()
        };
        let wire = Grants::from_grants("p".into(), NOW, grants.clone());
        let back = wire.into_grants(NOW);
        if credits > 1 << 10 {
            prop_assert!(back.is_err());
        } else {
            prop_assert_eq!(back.unwrap(), grants);
        }
    }
}
