//! Cost of single faults, with and without the mechanism that mitigates them.

use crate::deployment::{TOWER_DISPATCH, total_speed};
use crate::sim::{Behaviour, Fault, Outcomes, Sim};
use crate::workload::{Job, Load, jobs};
use cardamomslip_core::{Policy, PolicyBuilder};
use std::time::Duration;

/// Time span in which jobs arrive.
const ARRIVAL_SPAN: Duration = Duration::from_secs(40);
/// Time of the fault after the start of the workload.
const FAULT_AT: Duration = Duration::from_secs(15);
/// Delay until the VM list shows that an executor is leaving.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Limit on the simulated time of a run.
const TIME_LIMIT: Duration = Duration::from_secs(120);
/// Load as a share of the pool's total speed.
const LOAD: f64 = 0.5;
/// Position of the faulty executor, which is one of the fastest.
const FAULTY_EXECUTOR: usize = 7;
/// Position of the entry VM that is killed.
const KILLED_ENTRY: usize = 3;
/// Factor on the speed of the slow executor.
const SLOW_FACTOR: f64 = 0.2;

/// Prints one CSV row per fault, mechanism and measure.
pub fn print_csv(seed: u64) {
    let work = jobs(
        Load::Steady(LOAD),
        total_speed(&TOWER_DISPATCH.vm_list()),
        ARRIVAL_SPAN,
        seed,
    );
    println!("fault,mechanism,measure,value");
    let run = |policy: &Policy, faults: &[(Duration, Fault)]| {
        let mut sim = Sim::new(TOWER_DISPATCH, policy, &work, seed);
        for &(at, fault) in faults {
            sim.add_fault(at, fault);
        }
        sim.run(TIME_LIMIT)
    };
    let shipped = Policy::default();
    let behaviour_fault = |behaviour| [(FAULT_AT, Fault::Executor(FAULTY_EXECUTOR, behaviour))];

    let no_failure_limit = PolicyBuilder::new()
        .max_consecutive_failures(u32::MAX)
        .build();
    for (name, policy) in [("ejection", &shipped), ("none", &no_failure_limit)] {
        let outcomes = run(policy, &behaviour_fault(Behaviour::FailAll));
        println!(
            "fails_all,{name},failed_tasks,{}",
            outcomes.counts.failed_tasks
        );
    }
    let no_learning = PolicyBuilder::new().speed_update_weight(0.0).build();
    for (name, policy) in [("learned_speed", &shipped), ("none", &no_learning)] {
        let outcomes = run(policy, &behaviour_fault(Behaviour::Slow(SLOW_FACTOR)));
        println!(
            "slow,{name},tasks_started_there,{}",
            outcomes.counts.started_on_faulty
        );
        println!("slow,{name},mean_ratio,{:.3}", mean_ratio(&work, &outcomes));
    }
    let no_ejection = PolicyBuilder::new()
        .base_ejection_time(Duration::ZERO)
        .max_ejection_time(Duration::ZERO)
        .build();
    for (name, policy) in [("ejection", &shipped), ("none", &no_ejection)] {
        let outcomes = run(policy, &behaviour_fault(Behaviour::Silent));
        println!("silent,{name},lost_tasks,{}", outcomes.counts.silent_tasks);
    }
    let no_leaving_reports = PolicyBuilder::new()
        .leaving_report_ttl(Duration::ZERO)
        .build();
    for (name, policy) in [
        ("word_of_executor", &shipped),
        ("none", &no_leaving_reports),
    ] {
        let faults = [
            (
                FAULT_AT,
                Fault::Executor(FAULTY_EXECUTOR, Behaviour::Leaving),
            ),
            (FAULT_AT + LIST_LAG, Fault::ListLeaving(FAULTY_EXECUTOR)),
        ];
        let starts = run(policy, &faults).counts.starts_on_leaving;
        // The workload starts after 2 s, when the slot owner has completed its start-up. Another
        // 5 ms are for start requests in flight when the VM list arrives.
        let bound = Duration::from_millis(2_005) + FAULT_AT + LIST_LAG;
        let late = starts.iter().filter(|at| **at > bound).count();
        println!("leaving,{name},starts_refused,{}", starts.len());
        println!("leaving,{name},starts_after_3_s,{late}");
    }
    let outcomes = run(&shipped, &[(FAULT_AT, Fault::KillEntry(KILLED_ENTRY))]);
    let failed = outcomes.jobs.iter().filter(|job| !job.complete).count();
    println!(
        "entry_dies,issuer_only,jobs_without_answer,{}",
        work.len() - outcomes.jobs.len()
    );
    println!("entry_dies,issuer_only,jobs_of_others_failed,{failed}");
}

/// Returns the mean of response time over ideal of the jobs that arrived after the fault.
fn mean_ratio(work: &[Job], outcomes: &Outcomes) -> f64 {
    let after = outcomes
        .jobs
        .iter()
        .filter(|job| work[job.job].at >= FAULT_AT);
    let ratios: Vec<f64> = after.map(|job| job.ratio).collect();
    ratios.iter().sum::<f64>() / ratios.len().max(1) as f64
}
