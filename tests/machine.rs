//! What the machine has, from files as the kernel writes them, and the limits that follow.

use cardamomslip::http::IngressLimits;
use cardamomslip::machine::{Machine, MemoryLimit, MemorySource};
use cardamomslip::settings::Limits;
use rstest::rstest;
use std::path::PathBuf;

const MIB: usize = 1024 * 1024;
/// Physical memory of the machines, in bytes.
const PHYSICAL: usize = 1024 * MIB;
const MEMINFO: &str = "MemTotal:        1048576 kB\nMemFree:          524288 kB\n\
    Buffers:               0 kB\nCached:                0 kB\nSwapCached:            0 kB\n\
    Active:                0 kB\nInactive:              0 kB\nSwapTotal:             0 kB\n\
    SwapFree:              0 kB\nDirty:                 0 kB\nWriteback:             0 kB\n\
    AnonPages:             0 kB\nMapped:                0 kB\nSlab:                  0 kB\n\
    PageTables:            0 kB\nCommitted_AS:          0 kB\nVmallocTotal:          0 kB\n\
    VmallocUsed:           0 kB\nVmallocChunk:          0 kB\nBounce:                0 kB\n\
    NFS_Unstable:          0 kB\n";

/// Writes a machine's files and reads its memory.
fn memory(name: &str, cgroups: &str, files: &[(&str, &str)]) -> Option<MemoryLimit> {
    let root = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let proc = [("proc/meminfo", MEMINFO), ("proc/self/cgroup", cgroups)];
    for (file, text) in proc.iter().chain(files) {
        let file = root.join(file);
        std::fs::create_dir_all(file.parent().expect("a directory")).expect("a directory");
        std::fs::write(file, text).expect("a file");
    }
    MemoryLimit::detect(&root)
}

#[rstest]
#[case::no_group("none", "", &[], PHYSICAL, MemorySource::Physical)]
#[case::unlimited_group(
    "unlimited", "0::/a\n", &[("sys/fs/cgroup/a/memory.max", "max\n")],
    PHYSICAL, MemorySource::Physical
)]
#[case::limited_group(
    "limited", "0::/a\n", &[("sys/fs/cgroup/a/memory.max", "125829120\n")],
    120 * MIB, MemorySource::ControlGroup
)]
#[case::limited_parent(
    "parent", "0::/a/b\n",
    &[("sys/fs/cgroup/a/memory.max", "125829120\n"), ("sys/fs/cgroup/a/b/memory.max", "max\n")],
    120 * MIB, MemorySource::ControlGroup
)]
#[case::group_of_outside(
    "outside", "0::/docker/a\n", &[("sys/fs/cgroup/memory.max", "125829120\n")],
    120 * MIB, MemorySource::ControlGroup
)]
#[case::older_hierarchy(
    "older", "4:memory:/a\n0::/\n",
    &[("sys/fs/cgroup/memory/a/memory.limit_in_bytes", "125829120\n")],
    120 * MIB, MemorySource::ControlGroup
)]
#[case::older_hierarchy_without_limit(
    "older-unlimited", "4:memory:/a\n0::/\n",
    &[("sys/fs/cgroup/memory/a/memory.limit_in_bytes", "9223372036854771712\n")],
    PHYSICAL, MemorySource::Physical
)]
fn the_smallest_limit_counts(
    #[case] name: &str,
    #[case] cgroups: &str,
    #[case] files: &[(&str, &str)],
    #[case] bytes: usize,
    #[case] source: MemorySource,
) {
    let expected = MemoryLimit { bytes, source };
    assert_eq!(memory(name, cgroups, files), Some(expected));
}

fn machine(memory_mib: usize, descriptors: usize) -> Machine {
    Machine {
        memory: Some(MemoryLimit {
            bytes: memory_mib * MIB,
            source: MemorySource::Physical,
        }),
        descriptors: Some(descriptors),
    }
}

fn limits_on(machine: &Machine, limits: Limits) -> (usize, usize) {
    let IngressLimits {
        bytes, connections, ..
    } = limits.ingress(machine).expect("a machine that suffices");
    (bytes, connections)
}

#[test]
fn default_limits_follow_from_the_machine() {
    let limits = Limits::default();
    let small = machine(120, 3_075);
    assert_eq!(limits_on(&small, limits), (30 * MIB, 640));
    let few_descriptors = machine(120, 128);
    assert_eq!(limits_on(&few_descriptors, limits), (30 * MIB, 64));
    let large = machine(64 * 1024, 1_000_000);
    assert_eq!(limits_on(&large, limits), (512 * MIB, 16_384));
    let unknown = Machine::default();
    assert_eq!(limits_on(&unknown, limits), (512 * MIB, 16_384));
}

#[test]
fn set_limits_are_used() {
    let limits = Limits {
        ingress_bytes: Some(48 * MIB),
        connections: Some(100),
        body_bytes: MIB,
        ..Limits::default()
    };
    assert_eq!(limits_on(&machine(120, 3_075), limits), (48 * MIB, 100));
}

/// Bodies of the largest size fit at the least twice, and 16 times where the memory suffices.
#[test]
fn limits_have_room_for_bodies() {
    let limits = Limits {
        ingress_bytes: Some(MIB),
        ..Limits::default()
    };
    assert_eq!(limits_on(&machine(1_024, 3_075), limits).0, 64 * MIB);
    assert_eq!(limits_on(&machine(120, 3_075), limits).0, 30 * MIB);
    assert_eq!(limits_on(&machine(20, 3_075), limits).0, 8 * MIB);
}

#[rstest]
#[case::bytes(Limits { ingress_bytes: Some(61 * MIB), ..Limits::default() }, "limits.ingress_bytes")]
#[case::body(Limits { body_bytes: 31 * MIB, ..Limits::default() }, "limits.body_bytes")]
#[case::connections(Limits { connections: Some(4_000), ..Limits::default() }, "limits.connections")]
fn limits_beyond_the_machine_are_rejected(#[case] limits: Limits, #[case] named: &str) {
    let error = limits.ingress(&machine(120, 3_075)).expect_err("too large");
    assert!(error.to_string().contains(named), "{error}");
}
