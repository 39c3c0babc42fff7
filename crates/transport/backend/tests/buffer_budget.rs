//! The memory of all buffered responses is bounded, and returned.

use proptest::prelude::*;

use hemlockwind_backend::buffer_budget::BufferBudget;
use hemlockwind_backend::buffer_budget::FREE_BYTES;

#[test]
fn grow_to_limit_of_all() {
    let budget = BufferBudget::new(1_000);
    let mut first = budget.reservation();
    let mut second = budget.reservation();
    assert!(first.grow_to(FREE_BYTES + 600));
    assert!(!second.grow_to(FREE_BYTES + 401));
    assert!(second.grow_to(FREE_BYTES + 400));
    assert!(first.grow_to(FREE_BYTES + 600));
    drop(first);
    assert_eq!(budget.reserved(), 400);
    assert!(second.grow_to(FREE_BYTES + 1_000));
}

#[test]
fn grow_to_small_sizes_needs_no_budget() {
    let budget = BufferBudget::new(0);
    let mut reservation = budget.reservation();
    assert!(reservation.grow_to(FREE_BYTES));
    assert!(!reservation.grow_to(FREE_BYTES + 1));
}

proptest! {
    /// Whatever grows and ends, the sum stays within the limit, and all of it is returned.
    #[test]
    fn reserved_within_limit(steps in prop::collection::vec((0..8usize, 0..200_000usize, any::<bool>()), 0..200)) {
        let budget = BufferBudget::new(300_000);
        let mut open: Vec<_> = (0..8).map(|_| budget.reservation()).collect();
        for (index, size, ends) in steps {
            let before = budget.reserved();
            match ends {
                true => open[index] = budget.reservation(),
                false => {
                    let is_reserved = open[index].grow_to(size);
                    prop_assert!(is_reserved || budget.reserved() == before);
                }
            }
            prop_assert!(budget.reserved() <= 300_000);
        }
        drop(open);
        prop_assert_eq!(budget.reserved(), 0);
    }
}
