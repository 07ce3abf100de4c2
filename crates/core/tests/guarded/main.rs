//! Guarded workers in virtual time: an oracle under random faults, and named loads and faults.
//!
//! `PROPTEST_CASES` and `PROPTEST_RNG_SEED` are honoured; the default is a fixed seed.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers of the simulation are small"
)]

#[macro_use]
mod cases;
mod ledger;
mod loads;
mod oracle;
mod recovery;
mod sim;
mod worker;
