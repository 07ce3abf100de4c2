//! Entry daemons as child processes, with the stand-ins that they talk to.

use crate::http::call;
use crate::record::note;
use crate::store::Store;
use crate::worker::{RunRecord, Server, Worker};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Host name, path prefix and service of the queue.
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";

/// A VM with its daemon.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A small deployment.
pub struct Fleet {
    pub store: Store,
    pub vms: Vec<Vm>,
    pub workers: Vec<Worker>,
    folder: PathBuf,
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addresses = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"));
    addresses.collect()
}

impl Fleet {
    /// Starts a daemon for each zone in `vms` and an executor for each in `workers`, and waits until
    /// all are in use.
    pub fn start(vms: &[&str], workers: &[&str], server: Server) -> Option<Self> {
        let folder =
            std::env::temp_dir().join(format!("cardamomslip-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Store::start();
        store.put("op/config", &format!(
            "{{\"Version\":7,\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"{HOST}\",\"Prefix\":\"{PREFIX}\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1500,\"TargetLatencyMs\":60,\"Priority\":0,\"Service\":\"{SERVICE}\",\"MaxAttempts\":4,\"Stretch\":1.6}}],\"Services\":[{{\"Name\":\"{SERVICE}\",\"HealthPath\":\"/healthz\",\"MaxConns\":64,\"Protocol\":\"h1\",\"Tls\":false,\"RejectsOverload\":true,\"Spare\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
        ));
        let started = workers.iter().enumerate().map(|(i, zone)| {
            let worker = Worker::start(&format!("i-{i:08x}"), zone, server);
            store.put(&format!("servers/{}", worker.id), &worker.entry(SERVICE));
            worker
        });
        let workers = started.collect();
        let mut fleet = Self {
            store,
            vms: Vec::new(),
            workers,
            folder,
        };
        for (i, zone) in vms.iter().enumerate() {
            let vm = fleet.prepare(&format!("frontend-{zone}-{i}"), zone);
            fleet.vms.push(vm);
            fleet.launch(i);
        }
        let end = Instant::now() + Duration::from_secs(10);
        while !(0..fleet.vms.len()).all(|vm| fleet.is_ready(vm)) {
            if Instant::now() > end {
                return None;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        std::thread::sleep(Duration::from_millis(3_500));
        note("all VMs are ready, for 3.5 s");
        Some(fleet)
    }

    /// Writes the settings of a VM as `deploy/entry.yaml` has them.
    fn prepare(&self, name: &str, zone: &str) -> Vm {
        let addresses = free_addresses(4);
        let settings = self.folder.join(format!("{name}.conf"));
        let text = format!(
            "name: \"{name}\"\ndata_centre: \"{zone}\"\ncpu_share: 0.25\nlisten:\n  callers: \"{}\"\n  ready: \"{}\"\n  peers: \"{}\"\n  metrics: \"{}\"\nstore: \"{}\"\npeer_secret: \"entry VMs of one installation\"\nstop_grace_ms: 6000\nmax_lease_ms: 1000\nclient_resend_ms: 1300\norders: invocation\nlog:\n  format: json\n  level: info\n",
            addresses[0], addresses[1], addresses[2], addresses[3], self.store.address
        );
        std::fs::write(&settings, text).expect("a settings file");
        Vm {
            name: name.to_owned(),
            callers: addresses[0],
            ready: addresses[1],
            metrics: addresses[3],
            log: self.folder.join(format!("{name}.log")),
            settings,
            child: None,
        }
    }

    /// Starts the daemon of a VM with the command of the deploy file.
    pub fn launch(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&vm.log);
        let child = Command::new("target/release/cardamomslip-entryd")
            .arg("--config")
            .arg(&vm.settings)
            .env("CARDAMOMSLIP_SETTINGS", &vm.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        vm.child = Some(child.expect("the daemon, built as the deploy file says"));
        note(format!("{} is started", vm.name));
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let host = format!("Host: {}\r\n", self.vms[number].ready);
        let answer = call(
            self.vms[number].ready,
            "GET",
            "/readyz",
            &host,
            "",
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Returns the number of executors that a VM holds, as its metrics say.
    pub fn held_workers(&self, number: usize) -> Option<u64> {
        let address = self.vms[number].metrics;
        let host = format!("Host: {address}\r\n");
        let (_, text) = call(
            address,
            "GET",
            "/metrics",
            &host,
            "",
            Duration::from_secs(1),
        )?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("cardamomslip_held_workers "));
        line?.trim().parse().ok()
    }

    /// Sends SIGKILL to the daemon of a VM.
    pub fn kill(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        note(format!("{} is killed", vm.name));
        if let Some(mut child) = vm.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the daemon of a VM.
    pub fn signal(&self, number: usize, signal: &str) {
        let vm = &self.vms[number];
        note(format!("{} gets SIG{signal}", vm.name));
        if let Some(child) = &vm.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid)
                .status();
        }
    }

    /// Returns the runs of all executors, by the time of their starts.
    pub fn records(&self) -> Vec<RunRecord> {
        let mut records: Vec<RunRecord> = self.workers.iter().flat_map(Worker::records).collect();
        records.sort_by_key(|row| row.began_ms);
        records
    }

    pub fn running(&self) -> usize {
        self.workers.iter().map(Worker::running).sum()
    }

    /// Submits a job and waits for its answer. Returns the status and the body.
    pub fn submit(
        &self,
        vm: usize,
        id: &str,
        job: &str,
        client_timeout: Duration,
    ) -> Option<(u16, String)> {
        submit(
            &self.vms[vm].name,
            self.vms[vm].callers,
            id,
            job,
            client_timeout,
        )
    }

    /// Cancels a job. Returns the status.
    pub fn cancel(&self, vm: usize, id: &str) -> Option<u16> {
        let vm = &self.vms[vm];
        let path = format!("{PREFIX}{id}");
        let host = format!("Host: {HOST}\r\n");
        let answer = call(
            vm.callers,
            "DELETE",
            &path,
            &host,
            "",
            Duration::from_secs(4),
        );
        let status = answer.map(|(status, _)| status);
        note(format!("DELETE {id} at {}: {status:?}", vm.name));
        status
    }
}

/// Submits a job to an address and waits for its answer. Returns the status and the body.
pub fn submit(
    name: &str,
    address: SocketAddr,
    id: &str,
    job: &str,
    client_timeout: Duration,
) -> Option<(u16, String)> {
    note(format!("POST {id} to {name}: {job}"));
    let path = format!("{PREFIX}{id}");
    let headers = format!(
        "Host: {HOST}\r\nX-Deadline-Ms: {}\r\n",
        client_timeout.as_millis()
    );
    let answer = call(address, "POST", &path, &headers, job, client_timeout);
    note(format!("POST {id} to {name} is answered: {answer:?}"));
    answer
}

/// Returns a job whose steps have this many tasks and run times, each after the one before it.
pub fn job(steps: &[(u32, u64)]) -> String {
    let times: Vec<String> = steps.iter().map(|(_, ms)| ms.to_string()).collect();
    let steps = steps.iter().enumerate().map(|(i, (count, ms))| {
        let after = if i == 0 {
            String::new()
        } else {
            format!(",\"After\":[{}]", i - 1)
        };
        format!("{{\"Count\":{count},\"Cpu\":6800,\"MemMb\":64,\"EstimateMs\":{ms}{after}}}")
    });
    let steps: Vec<String> = steps.collect();
    format!(
        "{{\"Spec\":\"ms={}\",\"Steps\":[{}],\"BestEffort\":true}}",
        times.join(","),
        steps.join(",")
    )
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            if let Some(mut child) = vm.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let kept = std::env::var("KEEP_LOGS").is_ok();
        if !kept {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
