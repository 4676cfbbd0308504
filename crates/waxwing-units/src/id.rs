//! Names and numbers that identify objects, each kind as a type of its own.
//!
//! Names are checked when they are parsed, so a value of a name type is always valid.

use std::fmt;
use std::str;
use std::sync;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The length of the longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

/// The result of parsing a name.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`NAME_MAX_BYTES`].
    #[error("a name has at most {NAME_MAX_BYTES} bytes, this one has {len_bytes}")]
    TooLong {
        /// The length of the text, in bytes.
        len_bytes: usize,
    },
    /// The text contains a character that is not allowed, or starts with a hyphen.
    #[error(
        "a name is made of a-z, 0-9 and '-', and starts with a letter or digit; found {found:?}"
    )]
    Character {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check_name(text: &str) -> Result<()> {
    let Some(first) = text.chars().next() else {
        return Err(Error::Empty);
    };
    if text.len() > NAME_MAX_BYTES {
        return Err(Error::TooLong { len_bytes: text.len() });
    }
    if first == '-' {
        return Err(Error::Character { found: first });
    }
    let allowed = |c: &char| c.is_ascii_lowercase() || c.is_ascii_digit() || *c == '-';
    match text.chars().find(|c| !allowed(c)) {
        Some(found) => Err(Error::Character { found }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}({})", stringify!($name), self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                check_name(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

name_type!(
    /// The name of an entry VM; the platform never gives the same name to two machines.
    VmId
);
name_type!(
    /// The name of a failure domain.
    FailureDomainId
);
name_type!(
    /// The name of a region.
    RegionId
);
name_type!(
    /// The name of an organisation.
    OrganisationId
);
name_type!(
    /// The name of a service.
    ServiceId
);
name_type!(
    /// The name of a backend server.
    BackendServerId
);
name_type!(
    /// The name of a record, unique within its kind.
    RecordName
);
name_type!(
    /// Identifies one request on its path from the caller to the backend server and back.
    RequestId
);
name_type!(
    /// The name of a process in the event timeline.
    ProcessName
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_type!(
    /// Identifies a caller's connection within one process.
    ConnectionId
);

number_type!(
    /// Distinguishes the starts of a process on the same machine.
    Incarnation
);
number_type!(
    /// A revision of the platform's store, which counts its changes.
    Revision
);
number_type!(
    /// Counts how often the platform's store was restored from a copy. A restoration undoes the
    /// latest writes and issues their revisions again, so revisions compare within an era only.
    StoreEra
);
number_type!(
    /// Distinguishes the messages of one process, so that duplicates are detected.
    Nonce
);
number_type!(
    /// Identifies an operator's change, so that its result can be looked up after a lost response.
    OperationId
);

/// The position of the era in a revision that is in an era after the first.
const ERA_SHIFT_BITS: u32 = 48;

impl StoreEra {
    /// The era of a store that was never restored or announces none.
    pub const FIRST: Self = Self(1);
}

impl Revision {
    /// Returns the revision that the store numbers `counter` in `era`. Revisions of a later era are
    /// higher than all of an earlier one.
    ///
    /// In the first era it is the number itself.
    pub const fn in_era(era: StoreEra, counter: u64) -> Self {
        Self((era.0.saturating_sub(StoreEra::FIRST.0) << ERA_SHIFT_BITS) | counter)
    }

    /// Returns the era of the store that the revision is from.
    pub const fn era(self) -> StoreEra {
        StoreEra((self.0 >> ERA_SHIFT_BITS) + StoreEra::FIRST.0)
    }
}
