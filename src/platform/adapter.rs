//! Adapter between the core and the platform: store operations, the configuration watch and the VM
//! list poll.

use super::client::{PlatformClient, PlatformError, Versioned};
use super::wire::{UsageWire, VmListWire};
use crate::config_wire::{ChangeRecordWire, ConfigurationWire};
use crate::input::InputSender;
use cardamomslip_core::Event;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::store::{StoreOp, StoreReply};
use cardamomslip_core::model::vm_list::VmList;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Key that the configuration is stored under.
const CONFIG_KEY: &str = "cardamomslip/config";
/// Key prefix of the audit records; the version and the change id follow.
const AUDIT_PREFIX: &str = "cardamomslip/audit/";
/// Key prefix of the usage reports; the incarnation follows.
const USAGE_PREFIX: &str = "cardamomslip/usage/";
/// Key prefix of the idempotency keys; the customer and the hashed key follow.
const KEY_BINDING_PREFIX: &str = "cardamomslip/keys/";
/// Time that one call of the configuration watch waits for a newer version.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Delay after a watch call that failed or found no configuration. While watch calls keep failing,
/// this is the interval at which the configuration is polled.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which the store keeps the binding of an idempotency key.
const KEY_BINDING_TTL: Duration = Duration::from_secs(24 * 3600);

/// Value under an idempotency key.
#[derive(Debug, Serialize, Deserialize)]
struct KeyBinding {
    job: String,
}

/// Adapter between the core and the platform. Its methods block the calling thread, except those
/// that spawn a thread.
#[derive(Clone, Debug)]
pub struct PlatformAdapter {
    client: PlatformClient,
}

impl PlatformAdapter {
    /// Creates an adapter that uses `client`.
    #[must_use]
    pub const fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Performs a store operation of the core. `config` supplies the customers' names for usage
    /// reports.
    #[must_use]
    pub fn perform(&self, req: &StoreOp, config: Option<&Configuration>) -> StoreReply {
        match req {
            StoreOp::ReadConfiguration => self.read_configuration(),
            StoreOp::CompareAndSwapConfiguration { base, config } => {
                let wire = ConfigurationWire::from(config.as_ref());
                to_store_reply(self.client.put(CONFIG_KEY, &wire, Some(*base), None))
            }
            StoreOp::BindKey { customer, key, id } => {
                let value = KeyBinding {
                    job: id.to_string(),
                };
                let key = key_binding_path(*customer, key);
                to_store_reply(
                    self.client
                        .put(&key, &value, Some(0), Some(KEY_BINDING_TTL)),
                )
            }
            StoreOp::ReadKey { customer, key } => self.read_key(&key_binding_path(*customer, key)),
            StoreOp::WriteUsage(report) => {
                let wire = UsageWire::new(report, config);
                to_store_reply(self.write_usage(&wire))
            }
        }
    }

    /// Writes a report unless the key is written concurrently. Without the condition, an earlier
    /// write that takes effect late could overwrite a newer report.
    fn write_usage(&self, wire: &UsageWire) -> Result<(), PlatformError> {
        let key = format!("{USAGE_PREFIX}{}", wire.incarnation);
        let current = self.client.get::<UsageWire>(&key)?;
        let version = current.map_or(0, |row| row.version);
        self.client.put(&key, wire, Some(version), None)
    }

    fn read_configuration(&self) -> StoreReply {
        match self.client.get::<ConfigurationWire>(CONFIG_KEY) {
            Ok(None) => StoreReply::Configuration(None),
            Ok(Some(row)) => match Configuration::try_from(row.value) {
                Ok(config) => StoreReply::Configuration(Some(Arc::new(config))),
                Err(e) => {
                    tracing::error!(error = %e, "the store holds an invalid configuration");
                    StoreReply::Lost
                }
            },
            Err(_) => StoreReply::Lost,
        }
    }

    fn read_key(&self, key: &str) -> StoreReply {
        match self.client.get::<KeyBinding>(key) {
            Ok(None) => StoreReply::Key(None),
            Ok(Some(row)) => match row.value.job.parse::<JobId>() {
                Ok(id) => StoreReply::Key(Some(id)),
                Err(e) => {
                    tracing::error!(error = %e, "the store holds an invalid key binding");
                    StoreReply::Lost
                }
            },
            Err(_) => StoreReply::Lost,
        }
    }

    /// Writes an audit record for each change in the history of `config`, the newest first.
    /// Idempotent.
    pub fn write_audit(&self, config: &Configuration) {
        for record in config.history.iter().rev() {
            let wire = ChangeRecordWire::from(record);
            let key = format!("{AUDIT_PREFIX}{:012}-{}", wire.version, wire.change_id);
            match self.client.put(&key, &wire, Some(0), None) {
                Ok(()) => {}
                // Older records were written together with this one.
                Err(PlatformError::Conflict) => return,
                Err(e) => {
                    tracing::warn!(
                        error = %e,
                        version = wire.version,
                        "failed to write audit record"
                    );
                    return;
                }
            }
        }
    }

    /// Reads the audit trail in order of versions.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if the call fails.
    pub fn read_audit(&self) -> Result<Vec<ChangeRecordWire>, PlatformError> {
        let rows = self.client.list::<ChangeRecordWire>(AUDIT_PREFIX)?;
        Ok(rows.into_values().map(|row| row.value).collect())
    }

    /// Reads the usage reports of all incarnations.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if the call fails.
    pub fn read_usage(&self) -> Result<Vec<UsageWire>, PlatformError> {
        let rows = self.client.list::<UsageWire>(USAGE_PREFIX)?;
        Ok(rows.into_values().map(|row| row.value).collect())
    }

    /// Spawns a thread that watches the configuration and sends each new version to the node, until
    /// `stop` is set.
    #[must_use]
    pub fn spawn_config_watch(&self, tx: InputSender, stop: Arc<AtomicBool>) -> JoinHandle<()> {
        let client = self.client.clone();
        std::thread::spawn(move || {
            let mut known_version = 0;
            while !stop.load(Ordering::Relaxed) {
                match client.watch::<ConfigurationWire>(CONFIG_KEY, known_version, WATCH_WAIT) {
                    Ok(Some(row)) => known_version = send_config(&tx, row),
                    Ok(None) | Err(_) => std::thread::sleep(WATCH_RETRY_DELAY),
                }
            }
        })
    }

    /// Spawns a thread that polls the VM list and sends each new revision to the node, until `stop`
    /// is set.
    #[must_use]
    pub fn spawn_vm_list_poll(
        &self,
        tx: InputSender,
        stop: Arc<AtomicBool>,
        interval: Duration,
    ) -> JoinHandle<()> {
        let client = self.client.clone();
        std::thread::spawn(move || {
            let mut known_revision = None;
            while !stop.load(Ordering::Relaxed) {
                if let Ok(Some(wire)) = client.vm_list::<VmListWire>() {
                    send_vm_list(&tx, wire, &mut known_revision);
                }
                std::thread::sleep(interval);
            }
        })
    }
}

fn send_config(tx: &InputSender, row: Versioned<ConfigurationWire>) -> u64 {
    match Configuration::try_from(row.value) {
        Ok(config) => tx.send_event(Event::Configuration(Arc::new(config))),
        Err(e) => tracing::error!(error = %e, "the store holds an invalid configuration"),
    }
    row.version
}

fn send_vm_list(tx: &InputSender, wire: VmListWire, known_revision: &mut Option<u64>) {
    match VmList::try_from(wire) {
        Ok(list) if *known_revision != Some(list.revision) => {
            *known_revision = Some(list.revision);
            tx.send_event(Event::VmList(Arc::new(list)));
        }
        Ok(_) => {}
        Err(e) => tracing::error!(error = %e, "the platform sent an invalid VM list"),
    }
}

fn to_store_reply(result: Result<(), PlatformError>) -> StoreReply {
    match result {
        Ok(()) => StoreReply::Written,
        Err(PlatformError::Conflict) => StoreReply::Conflict,
        Err(PlatformError::Unavailable(_)) => StoreReply::Lost,
    }
}

/// Returns the store key of an idempotency key. The idempotency key is hashed, so that any text
/// gives a valid path of bounded length.
fn key_binding_path(customer: CustomerId, key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    format!("{KEY_BINDING_PREFIX}{:016x}/{digest:x}", customer.0)
}
