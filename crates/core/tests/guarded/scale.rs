//! What grows with the fleet, counted without a network: heartbeats, connections and rows of each
//! VM, and the time until lost cells have a holder again.
//!
//! The bounds come from the users' limit for the control of a node, 24 KB a second and 1.1% of a
//! core, and from what a job waits for a holder.

use crate::sim::{EQUAL, HeartbeatCount, Shape, Sim};
use cardamomslip_core::guarded::model::answer::Answer;

/// Maximum number of bytes of heartbeats that a VM sends, and receives, in a second.
const MAX_BYTES_PER_S: u64 = 24_000;
/// Maximum number of heartbeats that a VM sends and receives in a second: 1.1% of a core at 40 us
/// for each.
const MAX_HEARTBEATS_PER_S: u64 = 275;
/// Maximum number of worker rows that a tick of one VM visits, as a multiple of its share if the
/// three largest VMs of each data centre hold all workers.
const MAX_ROWS_FACTOR: usize = 3;
/// Mean number of workers of a cell, the smallest share.
const CELL_WORKERS: usize = 32;
/// Maximum time until all workers have a holder again after holders lost power, in milliseconds:
/// the peer timeout and the longest wait of a job for a runner.
const MAX_RECOVERY_MS: u64 = 1_100;
/// Measured time, in seconds.
const SECONDS: u64 = 4;

/// Weights of the VMs of a data centre of the large deployments.
const MIXED: &[u32] = &[
    9, 50, 9, 30, 9, 9, 30, 9, 50, 9, 30, 9, 9, 30, 9, 9, 50, 9, 30, 9, 9, 30, 9, 9,
];

const SMALL: Shape = Shape {
    vms: 7,
    data_centres: 3,
    workers: 48,
    weights: EQUAL,
};
const GROWN: Shape = Shape {
    vms: 45,
    data_centres: 5,
    workers: 350,
    weights: MIXED,
};
const LARGE: Shape = Shape {
    vms: 147,
    data_centres: 7,
    workers: 1_100,
    weights: MIXED,
};
const LARGER: Shape = Shape {
    vms: 300,
    data_centres: 7,
    workers: 1_100,
    weights: MIXED,
};

/// Submits small jobs through many VMs and checks that all complete.
fn check_service(sim: &mut Sim, vms: usize) {
    let ids: Vec<_> = (0..vms)
        .step_by(3)
        .map(|vm| sim.submit(vm, 2, 60, 0))
        .collect();
    sim.advance(1_000);
    for id in ids {
        assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Completed));
    }
}

/// Counts what each VM does for control while no job runs.
fn check_control(sim: &mut Sim, shape: Shape) {
    sim.advance(3_000);
    assert_eq!(sim.held_workers(), shape.workers as u64);
    check_service(sim, shape.vms);
    sim.advance(12_000);
    sim.heartbeats = vec![HeartbeatCount::default(); shape.vms];
    sim.advance(SECONDS * 1_000);
    let local = shape.vms.div_ceil(shape.data_centres);
    let holders = shape.data_centres * local.min(3);
    let max_rows = (shape.workers / holders).max(CELL_WORKERS) * MAX_ROWS_FACTOR;
    for vm in 0..shape.vms {
        let count = sim.heartbeats[vm];
        let sent = (count.sent / SECONDS, count.sent_bytes / SECONDS);
        let received = (count.received / SECONDS, count.received_bytes / SECONDS);
        let messages = sent.0 + received.0;
        assert!(
            messages <= MAX_HEARTBEATS_PER_S,
            "VM {vm}: {messages} heartbeats a second"
        );
        let bytes = sent.1.max(received.1);
        assert!(bytes <= MAX_BYTES_PER_S, "VM {vm}: {bytes} bytes a second");
        let rows = sim.stats_of(vm).worker_rows as usize;
        assert!(rows <= max_rows, "VM {vm}: {rows} worker rows");
        let max_links = local + 6 * shape.data_centres;
        let links = sim.link_count(vm);
        assert!(
            links <= max_links,
            "VM {vm}: {links} connections, at most {max_links}"
        );
    }
}

/// Cuts the power of the holders of one data centre, and checks when its workers are held again.
fn check_holder_loss(sim: &mut Sim, shape: Shape) {
    sim.advance(3_000);
    let holders = sim.holders();
    let lost: Vec<usize> = holders
        .into_iter()
        .filter(|vm| vm % shape.data_centres == 1)
        .collect();
    for vm in lost {
        sim.kill(vm, true);
    }
    sim.advance(MAX_RECOVERY_MS);
    assert_eq!(sim.held_workers(), shape.workers as u64);
    check_service(sim, shape.data_centres);
}

simulation_tests! {
    control_of_7_vms(SMALL) => |sim| check_control(sim, SMALL);
    control_of_45_vms(GROWN) => |sim| check_control(sim, GROWN);
    control_of_147_vms(LARGE) => |sim| check_control(sim, LARGE);
    control_of_300_vms(LARGER) => |sim| check_control(sim, LARGER);

    lost_holders_of_45_vms_are_replaced(GROWN) => |sim| check_holder_loss(sim, GROWN);
    lost_holders_of_147_vms_are_replaced(LARGE) => |sim| check_holder_loss(sim, LARGE);
    lost_holders_of_300_vms_are_replaced(LARGER) => |sim| check_holder_loss(sim, LARGER);

    /// Only the largest VMs of a data centre hold its workers.
    the_largest_vms_hold_the_workers(LARGE) => |sim| {
        sim.advance(3_000);
        for vm in sim.holders() {
            assert_eq!(MIXED[(vm / LARGE.data_centres) % MIXED.len()], 50, "weight of VM {vm}");
        }
    };

    /// All VMs but the smallest ones are lost. The small ones serve what they can.
    small_vms_take_over_when_all_others_are_lost(LARGE) => |sim| {
        sim.advance(3_000);
        let weight = |vm: usize| MIXED[(vm / LARGE.data_centres) % MIXED.len()];
        let lost: Vec<usize> = (0..LARGE.vms).filter(|&vm| weight(vm) > 9).collect();
        for vm in lost {
            sim.kill(vm, true);
        }
        sim.advance(6_000);
        assert_eq!(sim.held_workers(), LARGE.workers as u64);
        let small: Vec<usize> = (0..LARGE.vms).filter(|&vm| weight(vm) == 9).collect();
        let ids: Vec<_> = small.iter().map(|&vm| sim.submit(vm, 2, 60, 0)).collect();
        sim.advance(1_000);
        for id in ids {
            assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Completed));
        }
    };

    /// All VMs lose power and start again at the same time. All workers are held within the time
    /// that a client waits, and the VMs do not take workers from each other.
    all_vms_start_again_at_once(LARGE) => |sim| {
        sim.advance(3_000);
        for vm in 0..LARGE.vms {
            sim.kill(vm, true);
        }
        sim.advance(500);
        for vm in 0..LARGE.vms {
            sim.boot(vm);
        }
        sim.advance(1_500);
        assert_eq!(sim.held_workers(), LARGE.workers as u64);
        assert!(sim.acquisitions() <= 2 * LARGE.workers as u64, "{}", sim.acquisitions());
        check_service(sim, LARGE.vms);
    };

    /// Connections between VMs that are all alive are reset, and new ones take 70 ms. A lost
    /// connection is no lost VM: no worker changes its holder.
    resets_of_connections_cause_no_acquisitions(GROWN) => |sim| {
        sim.advance(3_000);
        let before = sim.acquisitions();
        sim.reset_links(70);
        sim.advance(2_000);
        assert_eq!(sim.acquisitions() - before, 0, "acquisitions after the resets");
        check_service(sim, GROWN.vms);
    };
}
