//! A small deployment: a store, executors and entry VMs, and clients of it.

use crate::executor::{Executor, Run, Shape};
use crate::fleet::{Launcher, Vm, wait_ready};
use crate::http::{Response, call};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Name of the service that the configuration names.
pub const SERVICE: &str = "tower-dispatch";
/// Host of the queue that the cases use.
const HOST: &str = "tower.example";
/// Prefix of the queue that the cases use.
const PREFIX: &str = "/alerts/";
/// Prefix of a second queue.
const OTHER_PREFIX: &str = "/triage/";
/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A deployment in use by a case.
pub struct Lab {
    pub record: Record,
    pub store: Store,
    pub executors: Vec<Executor>,
    pub vms: Vec<Vm>,
    launcher: Launcher,
}

/// An answer and when it came.
#[derive(Debug)]
pub struct Answer {
    pub at: Instant,
    pub result: Result<Response, String>,
}

impl Answer {
    /// Returns the status; `None` if there was no answer.
    pub fn status(&self) -> Option<u16> {
        self.result.as_ref().ok().map(|response| response.status)
    }
}

/// An answer that is still to come.
pub type Pending = Receiver<Answer>;

impl Lab {
    /// Starts a store with a configuration, executors, and a VM in each of the zones.
    pub fn start(folder: &Path, executors: &[Shape], zones: &[&str]) -> Result<Self, String> {
        let failed = |e: std::io::Error| e.to_string();
        let record = Record::create(folder).map_err(failed)?;
        let store = Store::start().map_err(failed)?;
        store.put("op/config", &configuration(1, &[PREFIX, OTHER_PREFIX]));
        let start = |shape: &Shape| Executor::start(shape.clone(), &store, &record);
        let executors: Result<_, _> = executors.iter().map(start).collect();
        let mut lab = Self {
            executors: executors.map_err(failed)?,
            launcher: Launcher::new(store.address()).map_err(failed)?,
            vms: Vec::new(),
            record,
            store,
        };
        for zone in zones {
            let vm = lab.launcher.launch(zone).map_err(failed)?;
            lab.vms.push(vm);
        }
        if !wait_ready(&lab.vms) {
            return Err("the entry VMs are not ready".to_owned());
        }
        // Traffic starts some seconds after the machines.
        std::thread::sleep(Duration::from_secs(5));
        let names: Vec<&str> = lab.vms.iter().map(|vm| vm.name.as_str()).collect();
        lab.record.line(&format!("ready: {}", names.join(", ")));
        Ok(lab)
    }

    /// Writes a configuration without the queue of the cases.
    pub fn drop_queue(&self) {
        self.store
            .put("op/config", &configuration(7, &[OTHER_PREFIX]));
        self.record
            .line("the operator's configuration 7 drops the queue");
    }

    /// Hands a job in at a VM, with the time for which the client waits.
    pub fn submit(
        &self,
        vm: usize,
        id: &str,
        steps: &str,
        spec: &str,
        patience: Duration,
    ) -> Pending {
        let body = format!("{{\"Spec\":\"{spec}\",\"BestEffort\":true,\"Steps\":[{steps}]}}");
        self.send(vm, "POST", id, body, patience)
    }

    /// Cancels a job at a VM and waits for the acknowledgement.
    pub fn cancel(&self, vm: usize, id: &str) -> Answer {
        let limit = Duration::from_secs(2);
        let pending = self.send(vm, "DELETE", id, String::new(), limit);
        pending.recv().expect("an answer or an error")
    }

    fn send(
        &self,
        vm: usize,
        method: &'static str,
        id: &str,
        body: String,
        limit: Duration,
    ) -> Pending {
        let (tx, rx) = channel();
        let vm = &self.vms[vm];
        let (to, name): (SocketAddr, String) = (vm.front, vm.name.clone());
        let (record, id) = (self.record.clone(), id.to_owned());
        record.line(&format!("client: {method} {id} to {name}"));
        std::thread::spawn(move || {
            let path = format!("{PREFIX}{id}");
            let ms = limit.as_millis().to_string();
            let headers = [
                ("Host", HOST),
                ("Content-Type", "application/json"),
                ("X-Deadline-Ms", ms.as_str()),
            ];
            let result = call(to, method, &path, &headers, &body, limit);
            let at = Instant::now();
            record.line(&match &result {
                Ok(Response { status, body }) => {
                    format!("client: {method} {id} answered by {name}: {status} {body}")
                }
                Err(e) => format!("client: {method} {id} not answered by {name}: {e}"),
            });
            // Sending fails if the case does not wait for the answer.
            let _ = tx.send(Answer { at, result });
        });
        rx
    }

    /// Returns the runs of a job on all executors, in order of their starts.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.executors.iter().flat_map(Executor::runs);
        let is_of_job = |run: &Run| run.task.split('.').next() == Some(id);
        let mut runs: Vec<Run> = runs.filter(is_of_job).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }

    /// Waits until a job has this many runs at work. Returns whether it has.
    pub fn wait_running(&self, id: &str, count: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let is_at_work = |run: &&Run| run.ended.is_none();
        while self.runs(id).iter().filter(is_at_work).count() < count {
            if Instant::now() > end {
                return false;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        true
    }

    /// Ends the VMs.
    pub fn close(self, folder: &Path) {
        self.launcher.keep_logs(folder);
        drop(self.vms);
    }
}

/// Returns a configuration with these queues, which go to the same service.
fn configuration(version: u64, prefixes: &[&str]) -> String {
    let routes = prefixes.iter().map(|prefix| {
        format!(
            "{{\"Name\":\"r-{}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",\
             \"Kind\":\"non_idempotent\",\"TimeoutMs\":30000,\"TargetLatencyMs\":60,\
             \"Priority\":0,\"Service\":\"{SERVICE}\",\"MaxAttempts\":4,\"Stretch\":1.6}}",
            prefix.trim_matches('/')
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    format!(
        "{{\"Version\":{version},\"Routes\":[{routes}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\
         \"RejectsOverload\":true,\"Spare\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
    )
}

/// Returns a job's text whose tasks take `ms` on `cpu` thousandths of a core.
pub fn spec(ms: u64, cpu: u64) -> String {
    format!("{ms} ms on {cpu}")
}

/// Returns a step of `count` tasks.
pub fn step(count: u32, ms: u64, cpu: u64, more: &str) -> String {
    format!("{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":64,\"EstimateMs\":{ms}{more}}}")
}

/// Returns steps of one task each, which run one after the other.
pub fn chain(length: usize, ms: u64, cpu: u64) -> String {
    let steps = (0..length).map(|number| {
        let after = number.checked_sub(1);
        let after = after.map_or(String::new(), |earlier| format!(",\"After\":[{earlier}]"));
        step(1, ms, cpu, &after)
    });
    steps.collect::<Vec<_>>().join(",")
}
