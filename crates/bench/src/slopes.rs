//! Microbenchmarks of message encoding and slot planning at several sizes. The slopes show how the
//! cost grows with the number of peers, executors and claims.

use cardamomslip::peers::{decode, encode};
use cardamomslip_core::model::ids::{CustomerId, DataCentreId, ExecutorId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::{
    Claim, Demand, Grant, Heartbeat, Holding, Message, Recall, SlotsBySpeedClass,
};
use cardamomslip_core::model::time::Time;
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use cardamomslip_core::{Event, Identity, Node, Policy};
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Number of repetitions of a timed step.
const ROUNDS: u32 = 2_000;

fn incarnation(i: u64) -> Incarnation {
    Incarnation {
        data_centre: DataCentreId(i % 7),
        vm: VmId(i),
        nonce: i << 40 | 0xabcdef,
    }
}

fn vm_list(entries: u64, executors: u64) -> VmList {
    let entry = |i| EntryVm {
        id: VmId(i),
        data_centre: DataCentreId(i % 7),
        peer_address: "10.20.30.40:7101".into(),
        state: VmState::Live,
    };
    let executor = |i: u64| ExecutorVm {
        id: ExecutorId(i << 32 | 0x1234_5678),
        data_centre: DataCentreId(i % 7),
        address: "10.20.30.40:7201".into(),
        slots: 8,
        speed_milli: 1_000,
        state: VmState::Live,
    };
    VmList {
        revision: 1,
        entries: (0..entries).map(entry).collect(),
        executors: (0..executors).map(executor).collect(),
    }
}

fn demand(seq: u64, holdings: u64, claims: u64) -> Demand {
    let holding = |i: u64| Holding {
        executor: ExecutorId(i << 32 | 0x1234_5678),
        slots: 4,
    };
    let claim = |i| Claim {
        customer: CustomerId(i % 44),
        rank: 1_000_000 + i,
        running: 10,
        needs: SlotsBySpeedClass([1, 1, 2, 2, 4, 4, 8, 8]),
        max_task_slots: 1,
        work: Duration::from_secs(12),
        longest: Duration::from_secs(3),
        horizon: Duration::from_secs(2),
        waited: Duration::from_millis(10),
    };
    Demand {
        seq,
        grant_seq: seq,
        holdings: (0..holdings).map(holding).collect(),
        claims: (0..claims).map(claim).collect(),
        recall: Recall::default(),
        avoid: Vec::new(),
    }
}

/// Returns the mean time of `step`.
fn mean_time(mut step: impl FnMut(u32)) -> Duration {
    let begin = Instant::now();
    for round in 0..ROUNDS {
        step(round);
    }
    begin.elapsed() / ROUNDS
}

/// Returns the encoded length of a message in bytes and the mean time to encode and decode it.
fn time_codec(message: &Message) -> (usize, Duration) {
    let len = encode(message).len();
    let span = mean_time(|_| {
        let frame = encode(black_box(message));
        drop(black_box(decode(&frame)));
    });
    (len, span)
}

/// Returns the mean time in which a slot owner with `peers` issuers handles a demand and plans its
/// grants.
fn time_plan(peers: u64, executors: u64, claims: u64) -> Duration {
    let me = incarnation(0);
    let mut node = Node::new(
        Identity {
            me,
            weight: 1_000_000,
            seed: 1,
        },
        Policy::default(),
    );
    let mut actions = Vec::new();
    node.handle(
        Time::ZERO,
        Event::VmList(Arc::new(vm_list(peers, executors))),
        &mut actions,
    );
    let heartbeat = Heartbeat {
        config_version: 1,
        vm_list_revision: 1,
        weight: 1,
        serving: true,
    };
    for i in 1..peers {
        let from = incarnation(i);
        node.handle(Time::ZERO, Event::PeerUp(from), &mut actions);
        let message = Message::Heartbeat(heartbeat);
        node.handle(Time::ZERO, Event::Message { from, message }, &mut actions);
    }
    node.tick(Time::ZERO, &mut actions);
    mean_time(|round| {
        actions.clear();
        let now = Time::from_micros(1_000_000 + u64::from(round) * 1_000);
        let from = incarnation(1 + u64::from(round) % (peers - 1).max(1));
        let message = Message::Demand(demand(u64::from(round) + 1, executors / peers, claims));
        node.handle(now, Event::Message { from, message }, &mut actions);
        node.tick(now, &mut actions);
        black_box(&actions);
    })
}

/// Prints the measurements as CSV.
pub fn print_csv() {
    println!("step,size,bytes,micros");
    let heartbeat = Heartbeat {
        config_version: 9_999,
        vm_list_revision: 9,
        weight: 2,
        serving: true,
    };
    let (bytes, span) = time_codec(&Message::Heartbeat(heartbeat));
    println!("heartbeat,1,{bytes},{:.2}", span.as_secs_f64() * 1e6);
    for (holdings, claims) in [(0, 1), (8, 1), (8, 8), (50, 32)] {
        let (bytes, span) = time_codec(&Message::Demand(demand(1, holdings, claims)));
        println!(
            "demand,{holdings}+{claims},{bytes},{:.2}",
            span.as_secs_f64() * 1e6
        );
    }
    for slots in [1, 8, 50] {
        let slots = demand(1, slots, 0).holdings;
        let size = slots.len();
        let grant = Grant {
            seq: 1_000,
            slots,
            recall: Recall::default(),
            expected_wait: Duration::from_millis(10),
            fast_slot_wait: Duration::from_millis(10),
        };
        let (bytes, span) = time_codec(&Message::Grant(grant));
        println!("grant,{size},{bytes},{:.2}", span.as_secs_f64() * 1e6);
    }
    for executors in [50, 200, 730] {
        let list = Arc::new(vm_list(7, executors));
        let (bytes, span) = time_codec(&Message::VmList(list));
        println!(
            "vm_list,{executors},{bytes},{:.2}",
            span.as_secs_f64() * 1e6
        );
    }
    for (peers, executors, claims) in [
        (7, 50, 4),
        (7, 50, 16),
        (28, 50, 4),
        (7, 200, 4),
        (7, 730, 4),
        (28, 730, 16),
    ] {
        let span = time_plan(peers, executors, claims);
        println!(
            "plan,{peers}x{executors}x{claims},0,{:.2}",
            span.as_secs_f64() * 1e6
        );
    }
}
