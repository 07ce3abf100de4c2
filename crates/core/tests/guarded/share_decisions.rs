//! Decisions on shares: the division of the room, the order of the jobs, and the classes of sizes.

use cardamomslip_core::guarded::model::ids::QueueId;
use cardamomslip_core::guarded::shares::{
    Budget, Claim, Entrant, ShareSettings, SizeClass, SizeClasses, Standing, divide, order,
};
use cardamomslip_core::model::time::Time;
use std::collections::HashMap;

const A: QueueId = QueueId(1);
const B: QueueId = QueueId(2);

const fn claim(weight: f64, demand: f64, usual: f64) -> Claim {
    Claim {
        weight,
        demand,
        usual,
        limit: f64::MAX,
    }
}

/// Defines a test of the division of a room of 100 for each case.
macro_rules! division_tests {
    ($($(#[$doc:meta])* $name:ident($claims:expr) => $shares:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let shares = divide(100.0, &$claims);
            let rounded: Vec<i64> = shares.iter().map(|share| share.round() as i64).collect();
            assert_eq!(rounded, $shares);
        })*
    };
}

division_tests! {
    equal_weights_share_evenly([claim(1.0, 200.0, 0.0), claim(1.0, 200.0, 0.0)]) => [50, 50];
    weights_decide([claim(3.0, 200.0, 0.0), claim(1.0, 200.0, 0.0)]) => [75, 25];
    /// A queue that uses little must not keep room from the others.
    unused_parts_go_to_the_others(
        [claim(2.0, 10.0, 0.0), claim(1.0, 80.0, 0.0), claim(1.0, 80.0, 0.0)]
    ) => [10, 45, 45];
    /// Queue B in a burst of 2.5 times its load: it must not displace C, whose usual use exceeds its part by
    /// weight.
    a_burst_does_not_displace_usual_use(
        [claim(2.0, 18.0, 18.0), claim(1.0, 80.0, 24.0), claim(1.0, 45.0, 40.0)]
    ) => [18, 37, 45];
    /// A queue that uses almost everything as a rule must not keep a new one from its part by weight.
    usual_use_does_not_displace_parts_by_weight(
        [claim(1.0, 90.0, 90.0), claim(1.0, 60.0, 0.0)]
    ) => [50, 50];
    /// Queues that were active a while ago must not reduce the parts of the others.
    idle_queues_have_no_part([claim(9.0, 0.0, 30.0), claim(1.0, 90.0, 0.0), claim(1.0, 90.0, 0.0)])
        => [0, 50, 50];
    a_quota_limits_a_share([Claim { limit: 20.0, ..claim(1.0, 90.0, 90.0) }, claim(1.0, 90.0, 0.0)])
        => [20, 80];
    no_claims([]) => Vec::<i64>::new();
}

fn entrant(queue: QueueId, item: u32) -> Entrant<u32> {
    Entrant {
        queue,
        need_milli: 10.0,
        has_begun: false,
        is_urgent: true,
        is_behind: false,
        standing: Standing::First,
        is_put_first: false,
        is_held_back: false,
        item,
    }
}

fn budgets(a: f64, b: f64) -> HashMap<QueueId, Budget> {
    let budget = |left| Budget {
        part_left: left,
        share_left: left,
        quota_left: f64::MAX,
    };
    [(A, budget(a)), (B, budget(b))].into()
}

fn items(entrants: &[Entrant<u32>]) -> Vec<u32> {
    entrants.iter().map(|entrant| entrant.item).collect()
}

/// A backlog of queue B above its share must not delay the jobs of A, which arrive later.
#[test]
fn jobs_below_their_share_go_first() {
    let mut jobs = [entrant(B, 0), entrant(B, 1), entrant(A, 2), entrant(A, 3)];
    order(&mut jobs, &budgets(100.0, -5.0));
    assert_eq!(items(&jobs), [2, 3, 0, 1]);
    assert!(jobs[..2].iter().all(|job| job.is_put_first));
    assert!(jobs[2..].iter().all(|job| job.is_held_back));
}

/// The share of a queue is used up within one pass, so that it does not get all room that becomes free.
#[test]
fn only_the_jobs_that_fit_in_the_share_go_first() {
    let mut jobs = [entrant(A, 0), entrant(B, 1), entrant(B, 2), entrant(A, 3)];
    order(&mut jobs, &budgets(-1.0, 10.0));
    assert_eq!(items(&jobs), [1, 0, 2, 3]);
}

/// A job must not be left half done while others begin.
#[test]
fn jobs_that_have_begun_keep_their_place() {
    let begun = Entrant {
        has_begun: true,
        ..entrant(B, 0)
    };
    let mut jobs = [begun, entrant(B, 1), entrant(A, 2)];
    order(&mut jobs, &budgets(100.0, -5.0));
    assert_eq!(items(&jobs), [0, 2, 1]);
}

/// A job with much slack must not make the urgent ones of another queue late.
#[test]
fn jobs_that_are_not_urgent_wait_for_their_turn() {
    let calm = Entrant {
        is_urgent: false,
        ..entrant(A, 1)
    };
    let mut jobs = [entrant(B, 0), calm];
    order(&mut jobs, &budgets(100.0, -5.0));
    assert_eq!(items(&jobs), [0, 1]);
    assert!(!jobs[0].is_held_back);
}

/// Queue A uses less than its part by weight; B only uses what others leave. A must not wait for B.
#[test]
fn parts_by_weight_go_before_what_others_leave() {
    let mut budgets = budgets(100.0, 100.0);
    budgets.get_mut(&B).expect("B has a budget").part_left = -1.0;
    let mut jobs = [entrant(B, 0), entrant(A, 1)];
    order(&mut jobs, &budgets);
    assert_eq!(items(&jobs), [1, 0]);
}

#[test]
fn a_queue_above_its_quota_goes_last() {
    let mut budgets = budgets(-5.0, 100.0);
    budgets.get_mut(&B).expect("B has a budget").quota_left = -1.0;
    let mut jobs = [entrant(B, 0), entrant(A, 1)];
    order(&mut jobs, &budgets);
    assert_eq!(items(&jobs), [1, 0]);
}

/// The sizes that are behind take the first places of their queue, and no place of another one.
#[test]
fn sizes_behind_take_the_places_of_their_queue() {
    let behind = |item| Entrant {
        is_behind: true,
        ..entrant(B, item)
    };
    let mut jobs = [
        entrant(B, 0),
        entrant(A, 1),
        entrant(B, 2),
        behind(3),
        entrant(A, 4),
        behind(5),
    ];
    order(&mut jobs, &budgets(100.0, 100.0));
    assert_eq!(items(&jobs), [3, 1, 5, 0, 4, 2]);
}

/// Returns the classes of a queue with jobs of sizes 1 to 100, of which a part of each class begins.
fn classes(rest: f64, large: f64, largest: f64) -> SizeClasses {
    let mut classes = SizeClasses::default();
    for i in 0..128 {
        classes.record_size(i * 37 % 100 + 1);
    }
    let mut due = [0.0; 3];
    for i in 0..100 {
        let class = classes.classify(i + 1) as usize;
        due[class] += [rest, large, largest][class];
        let has_begun = due[class] >= 1.0;
        due[class] -= f64::from(u8::from(has_begun));
        classes.record_outcome(Time::from_micros(i), i + 1, has_begun);
    }
    classes
}

#[test]
fn sizes_are_classified_within_their_queue() {
    let classes = classes(1.0, 1.0, 1.0);
    assert_eq!(classes.classify(50), SizeClass::Rest);
    assert_eq!(classes.classify(80), SizeClass::Large);
    assert_eq!(classes.classify(100), SizeClass::Largest);
    assert_eq!(SizeClasses::default().classify(100), SizeClass::Rest);
}

/// Early refusal favours small jobs: the large classes must be noticed when they begin less than half as
/// often as the rest.
#[test]
fn classes_that_fall_behind_are_noticed() {
    let even = classes(0.8, 0.8, 0.8);
    assert!(!even.is_behind(80) && !even.is_behind(100));
    let skewed = classes(0.8, 0.3, 0.1);
    assert!(skewed.is_behind(80) && skewed.is_behind(100));
    assert!(!skewed.is_behind(10));
}

#[test]
fn weights_come_from_the_queue_then_from_the_priority() {
    let settings = ShareSettings {
        default_weight: 3.0,
        by_queue: [(A, 5.0)].into(),
        by_priority: [(0, 2.0)].into(),
        quotas: [(B, 0.5)].into(),
    };
    assert_eq!(settings.weight(A, 0).to_bits(), 5.0_f64.to_bits());
    assert_eq!(settings.weight(B, 0).to_bits(), 2.0_f64.to_bits());
    assert_eq!(settings.weight(B, 7).to_bits(), 3.0_f64.to_bits());
    assert_eq!(settings.quota(B).to_bits(), 0.5_f64.to_bits());
    assert_eq!(settings.quota(A).to_bits(), 1.0_f64.to_bits());
}
