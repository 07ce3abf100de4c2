//! A fake of the platform's store.

use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::store::{StoreOp, StoreReply, UsageReport};
use std::sync::Arc;

/// What the store holds.
#[derive(Debug, Default)]
pub struct Store {
    /// The configuration.
    pub config: Option<Arc<Configuration>>,
    /// Every configuration that was ever accepted.
    pub accepted: Vec<Arc<Configuration>>,
    keys: FastMap<(CustomerId, Arc<str>), JobId>,
    /// Usage reports.
    pub usage: FastMap<Incarnation, UsageReport>,
}

impl Store {
    /// Performs an operation.
    pub fn perform(&mut self, req: &StoreOp) -> StoreReply {
        match req {
            StoreOp::ReadConfiguration => StoreReply::Configuration(self.config.clone()),
            StoreOp::SwapConfiguration { base, config } => self.swap(*base, config),
            StoreOp::BindKey { customer, key, id } => {
                let key = (*customer, Arc::clone(key));
                if self.keys.contains_key(&key) {
                    return StoreReply::Conflict;
                }
                self.keys.insert(key, *id);
                StoreReply::Written
            }
            StoreOp::ReadKey { customer, key } => {
                StoreReply::Key(self.keys.get(&(*customer, Arc::clone(key))).copied())
            }
            StoreOp::WriteUsage(report) => {
                self.usage.insert(report.incarnation, report.clone());
                StoreReply::Written
            }
        }
    }

    fn swap(&mut self, base: u64, config: &Arc<Configuration>) -> StoreReply {
        let version = self.config.as_ref().map_or(0, |config| config.version);
        if version != base {
            return StoreReply::Conflict;
        }
        self.config = Some(Arc::clone(config));
        self.accepted.push(Arc::clone(config));
        StoreReply::Written
    }
}
