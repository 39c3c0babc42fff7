//! Orders to engines around the end of an order issuer's lease, with processes that are paused,
//! stopped and replaced.

use std::time::Duration;

use hemlockwind_emulator::engine::Received;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::TAKEOVER_TIMEOUT;

/// Delay of the reports while the order issuer is paused. It is within the time that the order
/// issuer waits for a report.
const REPORT_DELAY: Duration = Duration::from_millis(120);
/// Time in which an order issuer that has lost its lease, by a pause or a planned stop, would
/// complete the orders that it had begun.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Checks that no order has a lower fencing token than the order before it.
fn assert_fencing_never_decreases(orders: &[Received]) {
    let pairs = orders.windows(2);
    let reversed = pairs.filter(|pair| pair[1].fencing < pair[0].fencing);
    assert_eq!(reversed.count(), 0, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn order_not_sent_by_an_issuer_paused_over_its_lease() {
    let fleet = Fleet::start("paused-issuer", 2).await;
    let order_issuer = fleet.order_issuer();
    let began = Instant::now();
    fleet.set_report_delay(REPORT_DELAY);
    let reports = fleet.reports();
    fleet.remove_engine(3);
    // Wait until the order issuer has checked its lease and requested a report. It is then paused,
    // so that the answer arrives during the pause.
    while fleet.reports() == reports {
        assert!(
            began.elapsed() < TAKEOVER_TIMEOUT,
            "the order issuer requested no report"
        );
        sleep(Duration::from_millis(1)).await;
    }
    fleet.instances[order_issuer].process.signal("STOP");
    let paused = Instant::now();
    sleep(REPORT_DELAY * 2).await;
    fleet.set_report_delay(Duration::ZERO);
    fleet
        .wait_for_other_order_issuer(order_issuer, paused)
        .await;
    fleet.instances[order_issuer].process.signal("CONT");
    // Both instances run now, and both detect the gap.
    fleet.remove_engine(12);
    sleep(SETTLE_TIME).await;
    let orders = fleet.orders(began);
    assert!(!orders.is_empty());
    assert_fencing_never_decreases(&orders);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_once_around_a_planned_handover() {
    let fleet = Fleet::start("hand-over", 2).await;
    let order_issuer = fleet.order_issuer();
    let began = Instant::now();
    fleet.remove_engine(3);
    fleet.remove_engine(11);
    fleet.instances[order_issuer].process.signal("TERM");
    fleet.wait_for_other_order_issuer(order_issuer, began).await;
    // The stopping instance still runs for seconds and detects the gap.
    fleet.remove_engine(5);
    sleep(SETTLE_TIME).await;
    let orders = fleet.orders(began);
    assert_fencing_never_decreases(&orders);
    for engine in &fleet.site.engines {
        let mut accepted = engine.received();
        accepted.retain(|o| o.at >= began && o.is_accepted);
        // No engine accepted two successive orders for the same layers.
        let mut layers: Vec<_> = accepted.iter().map(|o| o.layers).collect();
        layers.dedup();
        assert_eq!(
            layers.len(),
            accepted.len(),
            "{}: {accepted:?}",
            engine.name()
        );
    }
}
