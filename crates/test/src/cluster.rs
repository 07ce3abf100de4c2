//! Test cluster: stand-ins and entry daemons in one process, connected by loopback sockets.

use crate::executor::{ExecutorConfig, ExecutorCounts, ExecutorStandIn};
use crate::platform::PlatformStandIn;
use cardamomslip::{Daemon, Settings};
use cardamomslip_cli::client::Client;
use eyre::{Result, bail, ensure};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Bearer token of the operator.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Timeout of [`wait_until`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which [`wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A customer that [`first_configuration`] sets up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    /// Karoo Windcare.
    Karoo,
    /// Bantay Usok.
    Bantay,
}

impl Customer {
    /// All customers, in the order of declaration.
    pub const ALL: [Self; 2] = [Self::Karoo, Self::Bantay];

    /// Returns the name under which the customer is configured.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Karoo => "karoo",
            Self::Bantay => "bantay",
        }
    }

    /// Returns the customer's bearer token.
    #[must_use]
    pub fn token(self) -> String {
        format!("{}-token", self.name())
    }
}

/// Layout of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Names of the data centres.
    pub data_centres: Vec<&'static str>,
    /// Number of entry VMs in each data centre.
    pub entries: usize,
    /// Speeds of the executors in each data centre, relative to the reference machine; one executor
    /// is started per element.
    pub speeds: Vec<f64>,
    /// Number of slots of each executor.
    pub slots: u16,
    /// YAML lines added to the settings of each daemon.
    pub settings: &'static str,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            data_centres: vec!["sutherland", "laingsburg"],
            entries: 2,
            speeds: vec![0.5, 1.0, 1.5, 2.0],
            slots: 8,
            settings: "",
        }
    }
}

/// A running executor stand-in of a cluster.
#[derive(Debug)]
pub struct ClusterExecutor {
    /// Name of its data centre.
    pub data_centre: &'static str,
    /// The stand-in.
    pub standin: ExecutorStandIn,
    /// State in the published VM list, such as `live`.
    pub state: &'static str,
}

/// A running entry daemon of a cluster.
#[derive(Debug)]
pub struct ClusterDaemon {
    /// Name of the VM.
    pub name: String,
    /// Name of its data centre.
    pub data_centre: &'static str,
    /// The daemon.
    pub daemon: Daemon,
}

/// Stand-ins and entry daemons that run in this process.
#[derive(Debug)]
pub struct Cluster {
    /// Platform stand-in: key-value store and VM list.
    pub platform: PlatformStandIn,
    /// Executor stand-ins.
    pub executors: Vec<ClusterExecutor>,
    /// Running entry daemons.
    pub daemons: Vec<ClusterDaemon>,
    config: ClusterConfig,
    revision: u64,
}

/// Returns the SHA-256 hash of a token in lower-case hexadecimal digits.
#[must_use]
pub fn token_hash(token: &str) -> String {
    format!("{:x}", Sha256::digest(token.as_bytes()))
}

/// Returns the body of the operator request that sets the first configuration.
#[must_use]
pub fn first_configuration() -> Value {
    let customers: Vec<_> = Customer::ALL
        .iter()
        .map(|customer| {
            json!({"name": customer.name(), "token_sha256": token_hash(&customer.token())})
        })
        .collect();
    json!({
        "base": 0,
        "why": "first configuration",
        "preset": "ordinary",
        "presets": [
            {"name": "ordinary", "admits_work": true, "max_open_tasks": 1_000_000},
            {"name": "peak", "admits_work": true, "max_open_tasks": 2_000_000},
            {"name": "maintenance", "admits_work": false, "max_open_tasks": 0},
        ],
        "customers": customers,
    })
}

/// Waits until `condition` returns true.
///
/// # Errors
///
/// Returns an error that contains `what` if the condition does not hold within 60 s.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > WAIT_TIMEOUT {
            bail!("timed out waiting for {what}");
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

impl Cluster {
    /// Starts the stand-ins and daemons, sets the first configuration and waits until all daemons
    /// are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or daemon can't be started or a daemon does not become ready.
    pub fn start(config: ClusterConfig) -> Result<Self> {
        let platform = PlatformStandIn::start("127.0.0.1:0")?;
        let mut cluster = Self {
            platform,
            executors: Vec::new(),
            daemons: Vec::new(),
            config,
            revision: 0,
        };
        for data_centre in cluster.config.data_centres.clone() {
            for (i, speed) in cluster.config.speeds.clone().into_iter().enumerate() {
                cluster.add_executor(data_centre, &format!("{data_centre}-x{i}"), speed)?;
            }
            for i in 0..cluster.config.entries {
                cluster.add_daemon(data_centre, &format!("{data_centre}-{i}"))?;
            }
        }
        cluster.publish();
        cluster.configure()?;
        cluster.wait_connected()?;
        Ok(cluster)
    }

    fn add_executor(&mut self, data_centre: &'static str, name: &str, speed: f64) -> Result<()> {
        let standin = ExecutorStandIn::start(ExecutorConfig {
            name: name.to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            slots: self.config.slots,
            speed,
        })?;
        self.executors.push(ClusterExecutor {
            data_centre,
            standin,
            state: "live",
        });
        Ok(())
    }

    /// Starts a daemon. It is missing from the VM list until the next [`Cluster::publish`].
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't be started.
    pub fn add_daemon(&mut self, data_centre: &'static str, name: &str) -> Result<()> {
        let seeds: Vec<_> = self
            .daemons
            .iter()
            .map(|peer| peer.daemon.peer_address().to_string())
            .collect();
        let text = format!(
            "name: {name}\n\
             data_centre: {data_centre}\n\
             listen: {{callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\"}}\n\
             platform: \"{}\"\n\
             peers: {}\n\
             peer_secret: a secret of the peers\n\
             operators: [{{name: thandi, token_sha256: \"{}\"}}]\n\
             {}",
            self.platform.address(),
            json!(seeds),
            token_hash(OPERATOR_TOKEN),
            self.config.settings,
        );
        let daemon = Daemon::start(Settings::parse(&text)?)?;
        self.daemons.push(ClusterDaemon {
            name: name.to_owned(),
            data_centre,
            daemon,
        });
        Ok(())
    }

    /// Publishes a VM list of all current daemons and executors, with the next revision.
    pub fn publish(&mut self) {
        self.revision += 1;
        let entries: Vec<_> = self
            .daemons
            .iter()
            .map(|entry| {
                json!({
                    "name": entry.name,
                    "data_centre": entry.data_centre,
                    "peer_address": entry.daemon.peer_address().to_string(),
                })
            })
            .collect();
        let executors: Vec<_> = self
            .executors
            .iter()
            .map(|executor| {
                executor
                    .standin
                    .vm_list_entry(executor.data_centre, executor.state)
            })
            .collect();
        let list = json!({"revision": self.revision, "entries": entries, "executors": executors});
        self.platform.set_vm_list(list);
    }

    fn configure(&self) -> Result<()> {
        let body = first_configuration();
        let response = self.operator(0).put("/v1/operator/config", &body)?;
        ensure!(
            response.is_success(),
            "failed to set the first configuration: {}",
            response.body
        );
        Ok(())
    }

    /// Waits until every daemon is ready and connected to all others.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than [`wait_until`] allows.
    pub fn wait_connected(&self) -> Result<()> {
        wait_until("all daemons to be ready and connected", || {
            (0..self.daemons.len()).all(|i| {
                self.status(i).is_ok_and(|status| {
                    let peers = status["peers"].as_array().map_or(0, Vec::len);
                    status["ready"] == true && peers + 1 == self.daemons.len()
                })
            })
        })
    }

    /// Returns the status that daemon `i` reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub fn status(&self, i: usize) -> Result<Value> {
        Ok(self.operator(i).get("/v1/operator/status")?.body)
    }

    /// Returns a client that calls daemon `i` as the operator.
    #[must_use]
    pub fn operator(&self, i: usize) -> Client {
        self.client(i, OPERATOR_TOKEN)
    }

    /// Returns a client that calls daemon `i` as a customer.
    #[must_use]
    pub fn caller(&self, i: usize, customer: Customer) -> Client {
        self.client(i, &customer.token())
    }

    fn client(&self, i: usize, token: &str) -> Client {
        Client::new(&self.daemons[i].daemon.caller_address().to_string(), token)
    }

    /// Returns the sum of the counts of all executors.
    #[must_use]
    pub fn counts(&self) -> ExecutorCounts {
        let mut sum = ExecutorCounts::default();
        for executor in &self.executors {
            let counts = executor.standin.counts();
            sum.starts += counts.starts;
            sum.refused += counts.refused;
            sum.refused_leaving += counts.refused_leaving;
            for (task, starts) in counts.starts_by_task {
                *sum.starts_by_task.entry(task).or_insert(0) += starts;
            }
            for (customer, micros) in counts.slot_us {
                *sum.slot_us.entry(customer).or_insert(0) += micros;
            }
        }
        sum
    }

    /// Returns the sum of the settled slot time in the platform's usage reports, per customer, in
    /// microseconds.
    #[must_use]
    pub fn settled_usage(&self) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for report in self.platform.values("cardamomslip/usage/") {
            for line in report["lines"].as_array().into_iter().flatten() {
                let customer = line["customer"].as_str().unwrap_or_default().to_owned();
                *sum.entry(customer).or_insert(0) += line["settled_us"].as_u64().unwrap_or(0);
            }
        }
        sum
    }

    /// Shuts down all daemons gracefully.
    pub fn close_daemons(&mut self) {
        for entry in self.daemons.drain(..) {
            entry.daemon.close();
        }
    }

    /// Shuts down the daemons gracefully, then stops the stand-ins.
    pub fn close(mut self) {
        self.close_daemons();
        for executor in self.executors {
            executor.standin.close();
        }
        self.platform.close();
    }
}
