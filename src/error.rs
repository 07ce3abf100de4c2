//! Error type of the library.

use std::fmt;

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The settings file can't be read, or the settings are invalid.
    Settings,
    /// A listening socket can't be opened.
    Listen,
    /// A thread or the async runtime can't be started.
    Thread,
    /// The platform sent invalid data.
    Platform,
    /// The configuration is invalid.
    Configuration,
}

/// Error with a kind for programs and a message for people.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

impl Error {
    /// Creates an error.
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
