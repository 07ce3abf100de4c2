//! A fake of the platform's store.

use cardamomslip_core::collections::{FastMap, FastSet};
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
    /// Incarnations whose last report was written.
    pub settled: FastSet<Incarnation>,
    /// Usage reports, with the number of writes and the time at which the report was made.
    pub usage: FastMap<Incarnation, UsageRow>,
}

/// A usage report in the store.
#[derive(Clone, Debug)]
pub struct UsageRow {
    /// The report.
    pub report: UsageReport,
    /// Writes so far.
    pub version: u64,
    /// Time of the operation that wrote it, in microseconds of global time.
    pub at: u64,
}

impl Store {
    /// Performs an operation.
    pub fn perform(&mut self, req: &StoreOp) -> StoreReply {
        match req {
            StoreOp::ReadConfiguration => StoreReply::Configuration(self.config.clone()),
            StoreOp::CompareAndSwapConfiguration { base, config } => self.swap(*base, config),
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

    /// Writes usage if nothing was written since `expected`.
    pub fn write_usage(&mut self, report: &UsageReport, expected: u64, at: u64) -> StoreReply {
        if self.usage_version(report.incarnation) != expected {
            return StoreReply::Conflict;
        }
        if report.closed {
            self.settled.insert(report.incarnation);
        }
        let row = UsageRow {
            report: report.clone(),
            version: expected + 1,
            at,
        };
        self.usage.insert(report.incarnation, row);
        StoreReply::Written
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
