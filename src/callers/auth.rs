//! Authentication of customers and operators by bearer token.

use crate::settings::Operator;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::CustomerId;
use sha2::{Digest, Sha256};
use std::sync::{Arc, PoisonError, RwLock};

/// Authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// A customer of the current configuration.
    Customer(CustomerId),
    /// An operator of the settings, by name.
    Operator(Arc<str>),
}

/// Accepted tokens, by their SHA-256 in lower-case hexadecimal.
#[derive(Debug, Default)]
struct Tables {
    operators: FastMap<String, Arc<str>>,
    customers: FastMap<String, CustomerId>,
}

/// The accepted tokens and their owners. Clones share the tables.
#[derive(Clone, Debug, Default)]
pub struct AuthTable {
    tables: Arc<RwLock<Tables>>,
}

impl AuthTable {
    /// Creates a table with the operators of the settings and no customers. Customers are added by
    /// [`AuthTable::apply_configuration`].
    #[must_use]
    pub fn new(operators: &[Operator]) -> Self {
        let rows = operators.iter().map(|operator| {
            (
                operator.token_sha256.to_ascii_lowercase(),
                operator.name.as_str().into(),
            )
        });
        let tables = Tables {
            operators: rows.collect(),
            customers: FastMap::default(),
        };
        Self {
            tables: Arc::new(RwLock::new(tables)),
        }
    }

    /// Replaces the customers by those of a newer configuration.
    pub fn apply_configuration(&self, config: &Configuration) {
        let rows = config.customers.iter();
        let customers = rows
            .map(|row| (row.token_sha256.to_string(), row.id))
            .collect();
        self.tables
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .customers = customers;
    }

    /// Returns the owner of the token in the value of an `Authorization` header, `Bearer TOKEN`;
    /// `None` if the header is absent or malformed, or the token unknown. An operator's token takes
    /// precedence over an equal token of a customer.
    #[must_use]
    pub fn authenticate(&self, header: Option<&str>) -> Option<Principal> {
        let token = header?.strip_prefix("Bearer ")?;
        let hash = format!("{:x}", Sha256::digest(token.as_bytes()));
        let tables = self.tables.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(name) = tables.operators.get(&hash) {
            return Some(Principal::Operator(Arc::clone(name)));
        }
        tables
            .customers
            .get(&hash)
            .map(|&customer| Principal::Customer(customer))
    }
}
