//! Bearer tokens of customers and operators.

use crate::settings::Operator;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::CustomerId;
use sha2::{Digest, Sha256};
use std::sync::{Arc, PoisonError, RwLock};

/// Who shows a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// A customer.
    Customer(CustomerId),
    /// An operator, by name.
    Operator(Arc<str>),
}

/// Hashes of the tokens that are accepted.
#[derive(Debug, Default)]
struct Tables {
    operators: FastMap<String, Arc<str>>,
    customers: FastMap<String, CustomerId>,
}

/// Who may do what. Clones share the tables.
#[derive(Clone, Debug, Default)]
pub struct AuthTable {
    tables: Arc<RwLock<Tables>>,
}

impl AuthTable {
    /// Builds a table of the operators of the settings; customers come with the configuration.
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

    /// Takes in the customers of a newer configuration.
    pub fn take_configuration(&self, config: &Configuration) {
        let rows = config.customers.iter();
        let customers = rows
            .map(|row| (row.token_sha256.to_string(), row.id))
            .collect();
        self.tables
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .customers = customers;
    }

    /// Finds out who shows the value of an `Authorization` header.
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
