//! The error of the library.

use std::fmt;

/// What went wrong, by the part that met it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The settings can't be read or are not valid.
    Settings,
    /// A socket can't be opened.
    Listen,
    /// A thread can't be started.
    Thread,
    /// The platform did not do what was asked.
    Platform,
    /// The configuration is not valid.
    Configuration,
}

/// The error of the library: a kind and a message.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Builds an error.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
