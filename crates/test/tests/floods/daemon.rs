//! An entry daemon on a small machine, with its stand-ins.

use cardamomslip_cli::client::Client;
use cardamomslip_test::cluster::{OPERATOR_TOKEN, first_configuration, token_hash, wait_until};
use cardamomslip_test::flood::Machine;
use cardamomslip_test::ports::{Reservation, reserve_addresses};
use cardamomslip_test::{Customer, ExecutorConfig, ExecutorStandIn, PlatformStandIn};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Stdio};

/// A listener of the daemon.
#[derive(Clone, Copy, Debug)]
pub enum Listener {
    /// Callers, health checks and metrics.
    Callers,
    Peers,
}

/// A running daemon, the platform and an executor.
#[derive(Debug)]
pub struct DaemonUnderTest {
    callers: SocketAddr,
    peers: SocketAddr,
    process: DaemonProcess,
    platform: PlatformStandIn,
    executor: ExecutorStandIn,
    _reserved: Vec<Reservation>,
}

/// The process of a daemon, which is killed also after a failed test.
#[derive(Debug)]
struct DaemonProcess(Child);

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // It may have exited by itself.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl DaemonUnderTest {
    /// Starts a daemon, whose settings have no limits, on a machine and waits until it serves jobs.
    pub fn start(name: &str, machine: Machine) -> Self {
        let platform = PlatformStandIn::start("127.0.0.1:0").expect("a platform");
        let executor = ExecutorStandIn::start(ExecutorConfig {
            name: "x0".to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            slots: 8,
            speed: 1.0,
        })
        .expect("an executor");
        let reserved = reserve_addresses(Ipv4Addr::LOCALHOST, 2).expect("free ports");
        let (callers, peers) = (reserved[0].address(), reserved[1].address());
        let text = format!(
            "name: {name}\n\
             data_centre: metro\n\
             listen: {{callers: \"{callers}\", peers: \"{peers}\"}}\n\
             platform: \"{}\"\n\
             peer_secret: a secret of the peers\n\
             operators: [{{name: thandi, token_sha256: \"{}\"}}]\n\
             log: {{level: error}}\n",
            platform.address(),
            token_hash(OPERATOR_TOKEN),
        );
        let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("a settings file");
        platform.set_vm_list(json!({
            "revision": 1,
            "entries": [{"name": name, "data_centre": "metro", "peer_address": peers.to_string()}],
            "executors": [executor.vm_list_entry("metro", "live")],
        }));
        let child = machine
            .command(env!("CARGO_BIN_EXE_cardamomslipd-under-test"))
            .arg("--config")
            .arg(&settings)
            .stdin(Stdio::null())
            .spawn()
            .expect("a daemon");
        let daemon = Self {
            callers,
            peers,
            process: DaemonProcess(child),
            platform,
            executor,
            _reserved: reserved,
        };
        daemon.configure();
        daemon.wait_served();
        daemon
    }

    fn configure(&self) {
        let operator = Client::new(&self.callers.to_string(), OPERATOR_TOKEN);
        wait_until("the first configuration to be accepted", || {
            let response = operator.put("/v1/operator/config", &first_configuration());
            response.is_ok_and(|response| response.is_success())
        })
        .expect("a configuration");
    }

    /// Waits until an ordinary job is answered.
    pub fn wait_served(&self) {
        let caller = Client::new(&self.callers.to_string(), &Customer::Karoo.token());
        let body = json!({"task": {"kind": "check", "run_ms": 5, "payload": {"run_ms": 5}}});
        wait_until("a job to complete", || {
            let response = caller.post("/v1/requests?wait_ms=2000", &body, None);
            response.is_ok_and(|response| response.body["status"] == "complete")
        })
        .expect("an answer");
    }

    /// Submits jobs with this body one after the other, without waiting for their ends.
    pub fn submit_each(&self, jobs: u32, job: &Value) {
        let caller = Client::new(&self.callers.to_string(), &Customer::Karoo.token());
        let response = caller.post("/v1/jobs", &json!({"count": jobs}), None);
        let body = response.expect("a response").body;
        for id in body["ids"].as_array().expect("ids") {
            let id = id.as_str().expect("an id");
            // The daemon may refuse the job, or have ended.
            drop(caller.put(&format!("/v1/jobs/{id}"), job));
        }
    }

    /// Waits until a request that needs no room on the executor is answered.
    pub fn wait_answered(&self) {
        let caller = Client::new(&self.callers.to_string(), &Customer::Karoo.token());
        wait_until("an answer", || {
            let response = caller.post("/v1/jobs", &json!({"count": 1}), None);
            response.is_ok_and(|response| response.is_success())
        })
        .expect("an answer");
    }

    /// Waits until a metric is above 0.
    pub fn wait_above_zero(&self, name: &str) {
        let anyone = Client::new(&self.callers.to_string(), "");
        wait_until(name, || {
            let Ok(response) = anyone.get("/metrics") else {
                return false;
            };
            let text = response.body.as_str().unwrap_or_default();
            let mut lines = text.lines();
            let value = lines.find_map(|line| line.strip_prefix(&format!("{name} ")));
            value.is_some_and(|value| value.parse::<f64>().is_ok_and(|value| value > 0.0))
        })
        .expect("a metric");
    }

    /// Returns the address of a listener.
    pub const fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Callers => self.callers,
            Listener::Peers => self.peers,
        }
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.process.0.id()
    }

    /// Returns whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        self.process.0.try_wait().expect("a state").is_some()
    }

    /// Kills the daemon and ends the stand-ins.
    pub fn close(self) {
        drop(self.process);
        self.platform.close();
        self.executor.close();
    }
}
