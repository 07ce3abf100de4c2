//! Job identifiers, which contain their issuer and can't be guessed.

use super::ids::{CustomerId, DataCentreId, VmId};
use super::incarnation::Incarnation;
use siphasher::sip::SipHasher24;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;

/// Number of dash-separated fields in the text form of a job id.
const FIELDS: usize = 5;

/// Identifier of a job.
///
/// The issuer is part of the id, so any entry VM can route a request to it without a lookup. The
/// tag is a keyed hash of counter and customer, by which the issuer verifies ids without keeping
/// state for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// Incarnation that issued the id. No other one may start tasks of the job.
    pub issuer: Incarnation,
    /// Sequence number among the ids of the issuer.
    pub counter: u64,
    /// Keyed hash of the counter and the customer.
    pub tag: u64,
}

/// Secret key with which an incarnation signs its ids. Its `Debug` output hides the key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct IdKey(pub [u8; 16]);

impl fmt::Debug for IdKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IdKey(..)")
    }
}

impl IdKey {
    /// Returns the tag of the id with `counter` that is issued to `customer`.
    #[must_use]
    pub fn tag(&self, counter: u64, customer: CustomerId) -> u64 {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        counter.hash(&mut hasher);
        customer.0.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns whether the tag of `id` shows that it was issued to `customer` under this key.
    #[must_use]
    pub fn verifies(&self, id: JobId, customer: CustomerId) -> bool {
        self.tag(id.counter, customer) == id.tag
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{:016x}", self.issuer, self.counter, self.tag)
    }
}

/// Error for a text that is not a job id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a job id has five hexadecimal fields joined by dashes")]
pub struct ParseJobIdError;

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = [0_u64; FIELDS];
        let mut parts = text.split('-');
        for field in &mut fields {
            let part = parts.next().ok_or(ParseJobIdError)?;
            *field = parse_field(part)?;
        }
        if parts.next().is_some() {
            return Err(ParseJobIdError);
        }
        let [data_centre, vm, nonce, counter, tag] = fields;
        let data_centre = DataCentreId(data_centre);
        let issuer = Incarnation {
            data_centre,
            vm: VmId(vm),
            nonce,
        };
        Ok(Self {
            issuer,
            counter,
            tag,
        })
    }
}

fn parse_field(part: &str) -> Result<u64, ParseJobIdError> {
    if part.is_empty() || !part.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(ParseJobIdError);
    }
    u64::from_str_radix(part, 16).or(Err(ParseJobIdError))
}
