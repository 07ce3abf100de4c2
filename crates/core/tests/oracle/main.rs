//! Stateful property test: several nodes of the core under random operations and faults, checked
//! against a simple oracle.
//!
//! Reads `PROPTEST_CASES` and `PROPTEST_RNG_SEED`. The default is a fixed seed. The cases are
//! divided among a fixed number of threads, each with a seed of its own.

mod coverage;
mod executor;
mod fleet;
mod history;
mod machine;
mod store;

use machine::{COVERAGE, FleetTest, Model};
use proptest::test_runner::{Config, FileFailurePersistence, RngSeed, TestCaseError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::time::Instant;

/// Seed unless `PROPTEST_RNG_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_204;
/// Number of cases unless `PROPTEST_CASES` is set.
const DEFAULT_CASES: u32 = 1_200;
/// Number of threads among which the cases are divided.
const SHARDS: u32 = 6;
/// Number of operations per case.
const OPERATIONS: usize = 50;
/// Number of cases from which each item in `REQUIRED` must occur at least once.
const COVERAGE_CASES: u32 = 600;

fn run_shard(config: Config, seed: u64, shard: u32) {
    let config = Config {
        rng_seed: RngSeed::Fixed(seed.wrapping_add(u64::from(shard) << 32)),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/oracle/regressions.txt",
        ))),
        max_shrink_iters: 2_000,
        max_local_rejects: u32::MAX,
        max_global_rejects: u32::MAX,
        ..config
    };
    let strategy = Model::sequential_strategy(OPERATIONS);
    let mut runner = TestRunner::new(config.clone());
    let result = runner.run(&strategy, |(model, ops, seen)| {
        FleetTest::test_sequential(config.clone(), model, ops, seen);
        Ok::<_, TestCaseError>(())
    });
    if let Err(e) = result {
        panic!("shard {shard}, seed {seed}: {e}");
    }
}

#[test]
fn promises_hold_under_faults() {
    let mut config = Config::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = DEFAULT_CASES;
    }
    let seed = match config.rng_seed {
        RngSeed::Fixed(seed) => seed,
        RngSeed::Random => DEFAULT_SEED,
    };
    let cases = config.cases;
    config.cases = cases.div_ceil(SHARDS);
    let start = Instant::now();
    std::thread::scope(|scope| {
        for shard in 0..SHARDS {
            let config = config.clone();
            scope.spawn(move || run_shard(config, seed, shard));
        }
    });
    println!(
        "{} cases of {OPERATIONS} operations in {:?}",
        config.cases * SHARDS,
        start.elapsed()
    );
    let missing = COVERAGE.report();
    assert!(
        cases < COVERAGE_CASES || missing.is_empty(),
        "not covered: {missing:?}"
    );
}
