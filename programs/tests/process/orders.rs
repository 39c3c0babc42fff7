//! Orders to engines around the end of the permission to give them: by real processes that
//! are paused, stopped and replaced.

use std::time::Duration;

use hemlockwind_emulator::engine::Received;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::TAKEOVER;

/// How late reports are while the giver is paused: within the time that it waits for them.
const REPORT_DELAY: Duration = Duration::from_millis(120);
/// Time after a pause in which what was begun before it would be carried out.
const AFTERMATH: Duration = Duration::from_secs(2);

/// Orders never go back to an older permission.
fn assert_one_order_issuer_at_a_time(orders: &[Received]) {
    let pairs = orders.windows(2);
    let back = pairs.filter(|pair| pair[1].fencing < pair[0].fencing);
    assert_eq!(back.count(), 0, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn order_not_sent_by_a_giver_that_was_paused_over_its_lease() {
    let fleet = Fleet::start("paused-giver", 2).await;
    let order_issuer = fleet.order_issuer();
    let began = Instant::now();
    fleet.set_report_delay(REPORT_DELAY);
    let asked = fleet.reports();
    fleet.lose(3);
    // It has looked at its lease and asked an engine; the answer finds it paused.
    while fleet.reports() == asked {
        assert!(began.elapsed() < TAKEOVER, "nothing is ordered");
        sleep(Duration::from_millis(1)).await;
    }
    fleet.instances[order_issuer].process.signal("STOP");
    let paused = Instant::now();
    sleep(REPORT_DELAY * 2).await;
    fleet.set_report_delay(Duration::ZERO);
    fleet.other_gives(order_issuer, paused).await;
    fleet.instances[order_issuer].process.signal("CONT");
    // Both live now, and both see that something is due.
    fleet.lose(12);
    sleep(AFTERMATH).await;
    let orders = fleet.orders(began);
    assert!(!orders.is_empty());
    assert_one_order_issuer_at_a_time(&orders);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_once_around_a_planned_hand_over() {
    let fleet = Fleet::start("hand-over", 2).await;
    let order_issuer = fleet.order_issuer();
    let began = Instant::now();
    fleet.lose(3);
    fleet.lose(11);
    fleet.instances[order_issuer].process.signal("TERM");
    fleet.other_gives(order_issuer, began).await;
    // The one that stops lives on for seconds, and sees that something is due.
    fleet.lose(5);
    sleep(AFTERMATH).await;
    let orders = fleet.orders(began);
    assert_one_order_issuer_at_a_time(&orders);
    for engine in &fleet.site.engines {
        let mut taken = engine.received();
        taken.retain(|o| o.at >= began && o.is_accepted);
        let mut layers: Vec<_> = taken.iter().map(|o| o.layers).collect();
        layers.dedup();
        assert_eq!(layers.len(), taken.len(), "{}: {taken:?}", engine.name());
    }
}
