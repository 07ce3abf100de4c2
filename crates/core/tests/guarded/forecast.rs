//! The forecast as a function: which tasks fit where, and when jobs start and end.

use cardamomslip_core::guarded::forecast::{
    Demand, Expected, Forecast, HORIZON, MAX_JOBS, Release, WorkerRoom, forecast,
};
use cardamomslip_core::guarded::model::ids::{UpstreamId, WorkerId};
use cardamomslip_core::guarded::model::resources::Resources;
use cardamomslip_core::guarded::model::room::TasksNeed;
use cardamomslip_core::guarded::model::worker::WorkerEntry;
use cardamomslip_core::model::ids::DataCentreId;
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        memory_mb: 0,
        accelerators: 0,
    }
}

fn worker(capacity: u64) -> WorkerEntry {
    WorkerEntry {
        id: WorkerId(capacity),
        upstream: UpstreamId(1),
        data_centre: DataCentreId(1),
        capacity: cores(capacity),
        labels: vec!["a".into()],
        draining: false,
        cold_left: Duration::ZERO,
        boot: None,
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
    }
}

fn demand(tasks: u32, need: u64, run_ms: u64) -> Demand<'static> {
    Demand {
        upstream: UpstreamId(1),
        label: None,
        tasks,
        need: cores(need),
        run_time: ms(run_ms),
        rest: Duration::ZERO,
    }
}

/// Makes a forecast for idle workers.
fn on_idle(capacities: &[u64], jobs: &[Demand<'_>]) -> Forecast {
    with_runs(capacities, &[], jobs)
}

/// Makes a forecast for workers with runs: worker, cores, time left in milliseconds.
fn with_runs(capacities: &[u64], runs: &[(usize, u64, u64)], jobs: &[Demand<'_>]) -> Forecast {
    let entries: Vec<WorkerEntry> = capacities.iter().map(|&size| worker(size)).collect();
    let rooms = entries.iter().enumerate().map(|(i, entry)| {
        let used = runs.iter().filter(|run| run.0 == i).map(|run| run.1);
        WorkerRoom {
            entry,
            free: entry.capacity.without(&cores(used.sum())),
            run_time_factor: 1.0,
        }
    });
    let rooms: Vec<WorkerRoom<'_>> = rooms.collect();
    let releases = runs.iter().map(|&(worker, amount, left)| Release {
        worker,
        after: ms(left),
        amount: cores(amount),
    });
    let releases: Vec<Release> = releases.collect();
    forecast(&rooms, &releases, jobs)
}

fn times(row: &Expected) -> [u128; 3] {
    [row.start, row.last_start, row.end].map(|span| span.as_millis())
}

macro_rules! forecasts {
    ($($(#[$doc:meta])* $name:ident: $made:expr => $expected:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let made: Forecast = $made;
            let jobs: Vec<[u128; 3]> = made.jobs.iter().map(times).collect();
            assert_eq!(jobs, $expected);
        })*
    };
}

forecasts! {
    /// Two tasks of 32 cores fit on a worker of 64, three on one of 96.
    half_workers_fit_by_the_size_of_the_worker: on_idle(&[64, 96], &[demand(6, 32, 900)])
        => [[0, 900, 1_800]];

    /// The sum of the free cores suffices for the task, but no worker has room for it.
    scattered_cores_hold_no_large_task: with_runs(
        &[64, 64],
        &[(0, 40, 300), (1, 40, 500)],
        &[demand(1, 32, 900)],
    ) => [[300, 300, 1_200]];

    /// A task of 40 of 64 cores leaves 24, which only smaller tasks use.
    smaller_tasks_use_what_a_large_one_leaves: on_idle(
        &[64],
        &[demand(1, 40, 900), demand(1, 40, 900), demand(1, 24, 200)],
    ) => [[0, 0, 900], [900, 900, 1_800], [0, 0, 200]];

    /// The last task decides on the end of a job.
    the_last_task_ends_the_job: with_runs(
        &[64],
        &[(0, 32, 100), (0, 32, 700)],
        &[demand(2, 32, 200)],
    ) => [[100, 300, 500]];

    /// Tasks wait for those that are ahead of them.
    jobs_wait_for_those_ahead: on_idle(
        &[64],
        &[demand(4, 32, 400), demand(2, 32, 100)],
    ) => [[0, 400, 800], [800, 800, 900]];

    /// A job that no worker has room for does not delay the others.
    a_job_that_fits_nowhere_starts_beyond_the_horizon: on_idle(
        &[64],
        &[demand(1, 70, 100), demand(1, 32, 100)],
    ) => [[HORIZON.as_millis(); 3], [0, 0, 100]];

    /// Without workers nothing starts.
    nothing_starts_without_workers: on_idle(&[], &[demand(1, 1, 100)])
        => [[HORIZON.as_millis(); 3]];
}

/// The number of jobs in a forecast is bounded, and so is the time that it takes.
#[test]
fn the_number_of_jobs_is_bounded() {
    let made = on_idle(&[64], &vec![demand(8, 32, 60_000); 3 * MAX_JOBS]);
    assert_eq!(made.jobs.len(), MAX_JOBS);
}

/// The summary tells how many tasks of a size fit now and when the next one starts, which differs by
/// size although the free cores are the same.
#[test]
fn the_summary_differs_by_size() {
    let runs = [(0, 48, 400), (1, 48, 600), (2, 32, 900), (2, 32, 900)];
    let made = with_runs(&[64, 64, 64], &runs, &[]);
    let wait = |tasks, size: u64| {
        let need = TasksNeed {
            tasks,
            total_milli: tasks * size * 1_000,
            largest_milli: size * 1_000,
        };
        made.summary
            .wait_of(&need, 0, ms(300))
            .map(|wait| wait.as_millis())
    };
    assert_eq!(wait(2, 16), Some(0));
    assert_eq!(wait(1, 32), Some(400));
    assert_eq!(wait(1, 64), Some(400));
    assert_eq!(wait(7, 32), Some(700));
}

/// Placements since the summary was made count against it.
#[test]
fn placements_count_against_the_summary() {
    let made = with_runs(&[64], &[(0, 32, 500)], &[]);
    let need = TasksNeed {
        tasks: 1,
        total_milli: 32_000,
        largest_milli: 32_000,
    };
    assert_eq!(
        made.summary.wait_of(&need, 0, ms(300)),
        Some(Duration::ZERO)
    );
    assert_eq!(made.summary.wait_of(&need, 32_000, ms(300)), Some(ms(500)));
}
