//! The kinds of records and their fields.

use std::fmt;
use std::net;
use std::str;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use waxwing_contract::contract;
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::prefix;
use waxwing_units::rate;
use waxwing_units::size;
use waxwing_units::time as units_time;

/// The kind of a record, as written in its `kind` field.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub enum Kind {
    /// A region and its failure domains.
    Region,
    /// A service that callers send requests to.
    Service,
    /// An organisation and its rate limit contract.
    Organisation,
    /// A key that authenticates callers of an organisation.
    Key,
    /// A backend server of a service.
    BackendServer,
    /// Takes a backend server, an entry VM or a failure domain out of use.
    Drain,
    /// Blocks of caller addresses and the failure domains nearest to them.
    ClientBlocks,
}

/// All kinds with their names in files and in the store, in the order in which records are written.
pub const KINDS: [(Kind, &str); 7] = [
    (Kind::Region, "region"),
    (Kind::Service, "service"),
    (Kind::Organisation, "organisation"),
    (Kind::Key, "key"),
    (Kind::BackendServer, "backend-server"),
    (Kind::Drain, "drain"),
    (Kind::ClientBlocks, "client-blocks"),
];

/// The error for a text that is not the name of a record kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{text:?} is not a record kind; write region, service, organisation, key, backend-server, \
     drain or client-blocks"
)]
pub struct KindError {
    /// The text that was read.
    pub text: String,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = KINDS.iter().find(|(kind, _)| kind == self).map_or("", |(_, name)| name);
        f.pad(name)
    }
}

impl str::FromStr for Kind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        let found = KINDS.iter().find(|(_, name)| *name == text);
        found.map(|(kind, _)| *kind).ok_or_else(|| KindError { text: text.to_owned() })
    }
}

/// Identifies a record among all kinds, written as `kind/name`, such as `organisation/kiln`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr)]
pub struct RecordId {
    /// The kind of the record.
    pub kind: Kind,
    /// The name of the record, unique within its kind.
    pub name: id::RecordName,
}

/// The error for a text that is not a record id.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordIdError {
    /// The text has no slash between kind and name.
    #[error("{text:?} is not a record id; write kind/name, such as organisation/kiln")]
    Form {
        /// The text that was read.
        text: String,
    },
    /// The part before the slash is not a record kind.
    #[error(transparent)]
    Kind(#[from] KindError),
    /// The part after the slash is not a valid name.
    #[error("invalid record name: {0}")]
    Name(#[from] id::Error),
}

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl str::FromStr for RecordId {
    type Err = RecordIdError;

    fn from_str(text: &str) -> Result<Self, RecordIdError> {
        let form = || RecordIdError::Form { text: text.to_owned() };
        let (kind, name) = text.split_once('/').ok_or_else(form)?;
        Ok(Self { kind: kind.parse()?, name: name.parse()? })
    }
}

/// A region and its failure domains; a failure domain belongs to one region only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// The name of the region, which is also the name of its record.
    pub region: id::RegionId,
    /// The failure domains of the region, sorted.
    pub failure_domains: Vec<id::FailureDomainId>,
}

/// Which callers a service accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Callers with a known key; each request is charged to the organisation of the key.
    #[default]
    Keyed,
    /// All callers; no key is needed.
    Open,
}

/// A service that callers send requests to, under the path `/NAME/`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service, which is also the first segment of its path.
    pub service: id::ServiceId,
    /// Which callers the service accepts.
    pub access: Access,
    /// The largest accepted request body, in bytes.
    pub body_max_bytes: size::Bytes,
    /// The longest time that a request may take if its caller sets no limit, in milliseconds.
    pub deadline_ms: units_time::Millis,
    /// The largest time since the records were last confirmed as the newest for keys to be
    /// accepted, in milliseconds; `None` accepts keys for as long as the machine is cut off.
    pub key_staleness_max_ms: Option<units_time::Millis>,
    /// The largest share of traffic that moves to or from a region within ten seconds, in
    /// thousandths.
    pub shift_cap_permille: u64,
}

/// An organisation and its contract, the rate limit over all entry VMs together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name of the organisation, which is also the name of its record.
    pub organisation: id::OrganisationId,
    /// The rate at which the organisation earns tokens, over all entry VMs together.
    pub rate_per_second: rate::TokenRate,
    /// The most tokens that the organisation can save up, over all entry VMs together.
    pub burst_tokens: rate::Tokens,
    /// The failure domain that holds the base part of the contract.
    pub home: id::FailureDomainId,
    /// How the contract is divided among failure domains.
    pub spread: contract::Spread,
}

impl Organisation {
    /// Returns the contract of the organisation, marked with the `revision` of the record.
    pub fn contract(&self, revision: id::Revision) -> contract::Contract {
        let whole = contract::RateLimit {
            rate_per_second: self.rate_per_second,
            burst_tokens: self.burst_tokens.nano(),
        };
        contract::Contract {
            organisation: self.organisation.clone(),
            revision,
            whole,
            home: self.home.clone(),
            spread: self.spread.clone(),
        }
    }
}

/// A key that authenticates callers of an organisation; only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The name by which operators refer to the key.
    pub name: id::RecordName,
    /// The digest that is compared with the digest of a caller's key.
    pub digest: digest::KeyDigest,
    /// The organisation that requests with the key are charged to.
    pub organisation: id::OrganisationId,
}

/// A backend server of a service, with its address and capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// The name of the backend server, which is also the name of its record.
    pub backend_server: id::BackendServerId,
    /// The service whose requests it runs.
    pub service: id::ServiceId,
    /// The failure domain that it runs in.
    pub failure_domain: id::FailureDomainId,
    /// The address on which it accepts connections.
    pub address: net::SocketAddr,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
}

/// The object that a drain takes out of use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// A single backend server.
    BackendServer(id::BackendServerId),
    /// A single entry VM.
    EntryVm(id::VmId),
    /// A failure domain with all entry VMs and backend servers in it.
    FailureDomain(id::FailureDomainId),
}

/// Takes its target out of use for as long as the record is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The name of the record.
    pub name: id::RecordName,
    /// The object that is taken out of use.
    pub target: DrainTarget,
}

/// A block of caller addresses and the failure domain nearest to them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientBlock {
    /// The block of addresses.
    pub prefix: prefix::Prefix,
    /// The nearest failure domain.
    pub failure_domain: id::FailureDomainId,
}

/// A list of blocks of caller addresses; large lists are split into several records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientBlocks {
    /// The name of the record; it has no further meaning.
    pub name: id::RecordName,
    /// The blocks of this record, in any order.
    pub blocks: Vec<ClientBlock>,
}

/// A record of any kind in its newest schema version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A region and its failure domains.
    Region(Region),
    /// A service that callers send requests to.
    Service(Service),
    /// An organisation and its contract.
    Organisation(Organisation),
    /// A key of an organisation.
    Key(Key),
    /// A backend server of a service.
    BackendServer(BackendServer),
    /// A drain of one target.
    Drain(Drain),
    /// Blocks of caller addresses.
    ClientBlocks(ClientBlocks),
}

impl Record {
    /// Returns the kind that the record is stored under.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Region(_) => Kind::Region,
            Self::Service(_) => Kind::Service,
            Self::Organisation(_) => Kind::Organisation,
            Self::Key(_) => Kind::Key,
            Self::BackendServer(_) => Kind::BackendServer,
            Self::Drain(_) => Kind::Drain,
            Self::ClientBlocks(_) => Kind::ClientBlocks,
        }
    }
}
