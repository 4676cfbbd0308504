//! Reads a record of any supported schema version into its newest form.
//!
//! | kind | version 1 | version 2 |
//! | --- | --- | --- |
//! | organisation | the whole contract in the home failure domain | adds floor parts |
//! | other kinds | the only version | |
//!
//! A floor part of a contract is reserved for a failure domain other than the home.

use std::collections::BTreeMap;
use std::net;

use serde::Deserialize;
use serde::de;
use serde_with::DisplayFromStr;
use serde_with::serde_as;
use waxwing_contract::contract;
use waxwing_units::digest;
use waxwing_units::id;
use waxwing_units::prefix;
use waxwing_units::rate;
use waxwing_units::size;
use waxwing_units::time as units_time;

use crate::record;

/// The newest supported schema version of organisation records.
pub const ORGANISATION_VERSION: u32 = 2;

/// The newest supported schema version of all other records.
pub const VERSION: u32 = 1;

/// The result of reading a stored or written value as a record.
pub type Result<T> = std::result::Result<T, Error>;

/// The reason why a value can't be read as a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// One of the fields that every record has is missing or invalid.
    #[error("{0}; every record has kind, schema_version and name")]
    Header(String),
    /// The schema version is not supported by this release.
    #[error(
        "schema_version {version} of {kind} records is not known; this release reads 1 to {newest}"
    )]
    Version {
        /// The kind of the record that was read.
        kind: record::Kind,
        /// The schema version of the record that was read.
        version: u32,
        /// The newest schema version that is supported for the kind.
        newest: u32,
    },
    /// A field of the kind is missing, unknown or invalid.
    #[error("{0}")]
    Fields(String),
}

/// A record with its id and the schema version in which it was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The kind and name of the record.
    pub id: record::RecordId,
    /// The schema version in which the record was written.
    pub schema_version: u32,
    /// The record, converted to its newest form.
    pub record: record::Record,
}

/// The fields that every record has; `fields` collects those of its kind.
#[derive(Debug, Deserialize)]
struct Header {
    kind: record::Kind,
    schema_version: u32,
    name: id::RecordName,
    #[serde(flatten)]
    fields: serde_json::Map<String, serde_json::Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RegionV1 {
    failure_domains: Vec<id::FailureDomainId>,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceV1 {
    #[serde(default)]
    access: record::Access,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_body_max")]
    body_max: size::Bytes,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_deadline")]
    deadline: units_time::Millis,
    #[serde(default = "default_shift_cap_permille")]
    shift_cap_permille: u64,
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(default)]
    key_staleness_max: Option<units_time::Millis>,
}

const fn default_body_max() -> size::Bytes {
    size::Bytes(64 * 1024 * 1024)
}

const fn default_deadline() -> units_time::Millis {
    units_time::Millis(10_000)
}

const fn default_shift_cap_permille() -> u64 {
    100
}

#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrganisationV1 {
    #[serde_as(as = "DisplayFromStr")]
    rate: rate::TokenRate,
    #[serde_as(as = "DisplayFromStr")]
    burst: rate::Tokens,
    home: id::FailureDomainId,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrganisationV2 {
    #[serde_as(as = "DisplayFromStr")]
    rate: rate::TokenRate,
    #[serde_as(as = "DisplayFromStr")]
    burst: rate::Tokens,
    home: id::FailureDomainId,
    #[serde(default)]
    floors: Vec<id::FailureDomainId>,
    #[serde(default)]
    floor_permille: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyV1 {
    digest: digest::KeyDigest,
    organisation: id::OrganisationId,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BackendServerV1 {
    service: id::ServiceId,
    failure_domain: id::FailureDomainId,
    address: net::SocketAddr,
    slots: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainV1 {
    #[serde(default)]
    backend_server: Option<id::BackendServerId>,
    #[serde(default)]
    entry_vm: Option<id::VmId>,
    #[serde(default)]
    failure_domain: Option<id::FailureDomainId>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientBlocksV1 {
    /// The blocks of addresses by their nearest failure domain.
    nearest: BTreeMap<id::FailureDomainId, Vec<prefix::Prefix>>,
}

/// Reads a record of any supported schema version.
///
/// # Errors
///
/// Returns an error if a field is missing, unknown or invalid, or if the schema version is not
/// supported.
pub fn read(value: serde_json::Value) -> Result<Versioned> {
    let header: Header =
        serde_json::from_value(value).map_err(|error| Error::Header(error.to_string()))?;
    let newest = match header.kind {
        record::Kind::Organisation => ORGANISATION_VERSION,
        _ => VERSION,
    };
    if !(1..=newest).contains(&header.schema_version) {
        let (kind, version) = (header.kind, header.schema_version);
        return Err(Error::Version { kind, version, newest });
    }
    let id = record::RecordId { kind: header.kind, name: header.name };
    let schema_version = header.schema_version;
    let record = read_fields(&id, schema_version, header.fields)?;
    Ok(Versioned { id, schema_version, record })
}

fn read_fields(
    id: &record::RecordId,
    schema_version: u32,
    fields: serde_json::Map<String, serde_json::Value>,
) -> Result<record::Record> {
    let name = &id.name;
    Ok(match (id.kind, schema_version) {
        (record::Kind::Region, _) => record::Record::Region(region(name, parse_fields(fields)?)?),
        (record::Kind::Service, _) => {
            record::Record::Service(service(name, parse_fields(fields)?)?)
        }
        (record::Kind::Organisation, 1) => {
            record::Record::Organisation(organisation_v1(name, parse_fields(fields)?)?)
        }
        (record::Kind::Organisation, _) => {
            record::Record::Organisation(organisation_v2(name, parse_fields(fields)?)?)
        }
        (record::Kind::Key, _) => record::Record::Key(key(name, parse_fields(fields)?)),
        (record::Kind::BackendServer, _) => {
            record::Record::BackendServer(backend_server(name, parse_fields(fields)?)?)
        }
        (record::Kind::Drain, _) => record::Record::Drain(drain(name, parse_fields(fields)?)?),
        (record::Kind::ClientBlocks, _) => {
            record::Record::ClientBlocks(client_blocks(name, parse_fields(fields)?))
        }
    })
}

fn parse_fields<T: de::DeserializeOwned>(
    fields: serde_json::Map<String, serde_json::Value>,
) -> Result<T> {
    let value = serde_json::Value::Object(fields);
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        match field.as_str() {
            "." => Error::Fields(error.inner().to_string()),
            _ => Error::Fields(format!("{field}: {}", error.inner())),
        }
    })
}

fn parse_name<T: std::str::FromStr<Err = id::Error>>(name: &id::RecordName) -> Result<T> {
    name.as_str().parse().map_err(|error: id::Error| Error::Fields(error.to_string()))
}

fn region(name: &id::RecordName, fields: RegionV1) -> Result<record::Region> {
    let mut failure_domains = fields.failure_domains;
    failure_domains.sort();
    Ok(record::Region { region: parse_name(name)?, failure_domains })
}

fn service(name: &id::RecordName, fields: ServiceV1) -> Result<record::Service> {
    Ok(record::Service {
        service: parse_name(name)?,
        access: fields.access,
        body_max_bytes: fields.body_max,
        deadline_ms: fields.deadline,
        key_staleness_max_ms: fields.key_staleness_max,
        shift_cap_permille: fields.shift_cap_permille,
    })
}

fn organisation_v1(name: &id::RecordName, fields: OrganisationV1) -> Result<record::Organisation> {
    Ok(record::Organisation {
        organisation: parse_name(name)?,
        rate_per_second: fields.rate,
        burst_tokens: fields.burst,
        home: fields.home,
        spread: contract::Spread::Whole,
    })
}

fn organisation_v2(name: &id::RecordName, fields: OrganisationV2) -> Result<record::Organisation> {
    let mut failure_domains = fields.floors;
    failure_domains.sort();
    let spread = match failure_domains.is_empty() {
        true => contract::Spread::Whole,
        false => {
            contract::Spread::Floors { failure_domains, floor_permille: fields.floor_permille }
        }
    };
    Ok(record::Organisation {
        organisation: parse_name(name)?,
        rate_per_second: fields.rate,
        burst_tokens: fields.burst,
        home: fields.home,
        spread,
    })
}

fn key(name: &id::RecordName, fields: KeyV1) -> record::Key {
    let KeyV1 { digest, organisation } = fields;
    record::Key { name: name.clone(), digest, organisation }
}

fn backend_server(name: &id::RecordName, fields: BackendServerV1) -> Result<record::BackendServer> {
    let BackendServerV1 { service, failure_domain, address, slots } = fields;
    let backend_server = parse_name(name)?;
    Ok(record::BackendServer { backend_server, service, failure_domain, address, slots })
}

fn client_blocks(name: &id::RecordName, fields: ClientBlocksV1) -> record::ClientBlocks {
    let blocks_of = |(failure_domain, prefixes): (id::FailureDomainId, Vec<prefix::Prefix>)| {
        prefixes.into_iter().map(move |prefix| record::ClientBlock {
            prefix,
            failure_domain: failure_domain.clone(),
        })
    };
    let blocks = fields.nearest.into_iter().flat_map(blocks_of).collect();
    record::ClientBlocks { name: name.clone(), blocks }
}

fn drain(name: &id::RecordName, fields: DrainV1) -> Result<record::Drain> {
    let target = match (fields.backend_server, fields.entry_vm, fields.failure_domain) {
        (Some(server), None, None) => record::DrainTarget::BackendServer(server),
        (None, Some(vm), None) => record::DrainTarget::EntryVm(vm),
        (None, None, Some(domain)) => record::DrainTarget::FailureDomain(domain),
        _ => {
            let message =
                "a drain must name exactly one of backend_server, entry_vm and failure_domain";
            return Err(Error::Fields(message.to_owned()));
        }
    };
    Ok(record::Drain { name: name.clone(), target })
}
