//! Simulated key-value store of the platform.

use cardamomslip_core::collections::{FastMap, FastSet};
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::store::{StoreOp, StoreReply, UsageReport};
use std::sync::Arc;

/// Contents of the store.
#[derive(Debug, Default)]
pub struct Store {
    /// The current configuration; `None` before the first one is written.
    pub config: Option<Arc<Configuration>>,
    /// All configurations that were written, in order.
    pub accepted_configs: Vec<Arc<Configuration>>,
    keys: FastMap<(CustomerId, Arc<str>), JobId>,
    /// Incarnations that have written their final report.
    pub closed_incarnations: FastSet<Incarnation>,
    /// Latest usage report of each incarnation.
    pub usage: FastMap<Incarnation, UsageRow>,
}

/// A stored usage report.
#[derive(Clone, Debug)]
pub struct UsageRow {
    /// The report as its incarnation wrote it.
    pub report: UsageReport,
    /// Number of writes by this incarnation so far.
    pub version: u64,
    /// Time at which the write was requested, in microseconds of simulation time.
    pub requested_at: u64,
}

impl Store {
    /// Performs an operation. Usage is written unconditionally.
    pub fn perform(&mut self, req: &StoreOp) -> StoreReply {
        match req {
            StoreOp::ReadConfiguration => StoreReply::Configuration(self.config.clone()),
            StoreOp::CompareAndSwapConfiguration { base, config } => {
                self.compare_and_swap_config(*base, config)
            }
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
                self.write_usage(report, self.usage_version(report.incarnation), 0)
            }
        }
    }

    /// Returns the number of usage writes of an incarnation.
    pub fn usage_version(&self, incarnation: Incarnation) -> u64 {
        self.usage.get(&incarnation).map_or(0, |row| row.version)
    }

    /// Writes usage if the incarnation has made exactly `expected` writes so far.
    pub fn write_usage(
        &mut self,
        report: &UsageReport,
        expected: u64,
        requested_at: u64,
    ) -> StoreReply {
        if self.usage_version(report.incarnation) != expected {
            return StoreReply::Conflict;
        }
        if report.closed {
            self.closed_incarnations.insert(report.incarnation);
        }
        let row = UsageRow {
            report: report.clone(),
            version: expected + 1,
            requested_at,
        };
        self.usage.insert(report.incarnation, row);
        StoreReply::Written
    }

    fn compare_and_swap_config(&mut self, base: u64, config: &Arc<Configuration>) -> StoreReply {
        let version = self.config.as_ref().map_or(0, |config| config.version);
        if version != base {
            return StoreReply::Conflict;
        }
        self.config = Some(Arc::clone(config));
        self.accepted_configs.push(Arc::clone(config));
        StoreReply::Written
    }
}
