//! What datagrams between hosts have beyond the message of the last landing.
//!
//! The notes follow the message in the same datagram. A host of an earlier
//! build reads the message and ignores the rest; a message of one has no notes.
//! They are sections with a number each, so that a host skips those that a later
//! build adds.

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;

use crocushoist_policy::CrashSuspicion;
use crocushoist_policy::DepartureNotice;
use crocushoist_policy::LimitStatement;
use crocushoist_policy::PermitGrant;

use crate::peer_message::PeerMessage;

/// Numbers of the sections.
const LIMITS_SECTION: u32 = 1;
const LAPSED_SECTION: u32 = 2;
const PERMITS_SECTION: u32 = 3;
const WANTED_SECTION: u32 = 4;
const SUSPECTS_SECTION: u32 = 5;
const KNOWLEDGE_SECTION: u32 = 6;
const REPORTERS_SECTION: u32 = 7;

/// What a datagram has beyond the message.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct PeerNotes {
    /// Limits that instances named, as far as the sender knows.
    pub(crate) limits: Vec<WireStatement>,
    /// Requests that were in flight at instances when these crashed.
    pub(crate) suspects: Vec<WireSuspicion>,
    /// In a report: permits that lapsed since the start of the host.
    pub(crate) lapsed: Vec<WireGrant>,
    /// In a report: permits that the host wants, by the hash of the service's name.
    pub(crate) wanted: Vec<WireGrant>,
    /// In an answer: permits for requests to instances with limits.
    pub(crate) permits: Vec<WireGrant>,
    /// In a summary: what the sender knows of the configuration.
    pub(crate) knowledge: Option<ConfigKnowledge>,
    /// In an answer: number of hosts that report to the sender.
    pub(crate) reporters: Option<u32>,
}

/// What a host knows of the configuration: the version in force, and how many milliseconds ago the
/// store had no newer one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigKnowledge {
    pub(crate) version: u64,
    pub(crate) evidence_age: Option<u64>,
}

/// Statement of an instance about the requests that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireStatement(u32, u64, u32, Option<f64>);

/// Hash of an instance's id or of a service's name, and a number of permits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireGrant(u32, u32);

/// Hash of a request, number of its round, crashed starts of instances, and milliseconds since the
/// last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct WireSuspicion(u64, u32, Vec<(u32, u64)>, u64);

/// Number and content of a section.
#[derive(Debug, Serialize, Deserialize)]
struct WireSection(u32, Vec<u8>);

/// Why the notes of a datagram cannot be read.
#[derive(Debug, Display)]
pub(crate) enum NotesError {
    /// cannot decode the list of sections: {0}
    Sections(postcard::Error),
    /// cannot decode section {0}: {1}
    Section(u32, postcard::Error),
}

impl PeerNotes {
    /// Datagram with `message` and these notes.
    pub(crate) fn encode_with(&self, message: &PeerMessage) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_allocvec(message)?;
        let mut sections = Vec::new();
        add_section(&mut sections, LIMITS_SECTION, &self.limits)?;
        add_section(&mut sections, LAPSED_SECTION, &self.lapsed)?;
        add_section(&mut sections, PERMITS_SECTION, &self.permits)?;
        add_section(&mut sections, WANTED_SECTION, &self.wanted)?;
        add_section(&mut sections, SUSPECTS_SECTION, &self.suspects)?;
        add_section(&mut sections, KNOWLEDGE_SECTION, self.knowledge.as_slice())?;
        add_section(&mut sections, REPORTERS_SECTION, self.reporters.as_slice())?;
        if !sections.is_empty() {
            bytes.extend(postcard::to_allocvec(&sections)?);
        }
        Ok(bytes)
    }

    /// Message and notes of a datagram. Notes that cannot be read do not affect the message.
    pub(crate) fn decode_with(
        datagram: &[u8],
    ) -> Result<(PeerMessage, Result<Self, NotesError>), postcard::Error> {
        let (message, rest) = postcard::take_from_bytes(datagram)?;
        Ok((message, Self::decode(rest)))
    }

    fn decode(bytes: &[u8]) -> Result<Self, NotesError> {
        let mut notes = PeerNotes::default();
        if bytes.is_empty() {
            return Ok(notes);
        }
        let sections: Vec<WireSection> =
            postcard::from_bytes(bytes).map_err(NotesError::Sections)?;
        for WireSection(number, content) in sections {
            let decoded = match number {
                LIMITS_SECTION => read_section(&content, &mut notes.limits),
                LAPSED_SECTION => read_section(&content, &mut notes.lapsed),
                PERMITS_SECTION => read_section(&content, &mut notes.permits),
                WANTED_SECTION => read_section(&content, &mut notes.wanted),
                SUSPECTS_SECTION => read_section(&content, &mut notes.suspects),
                KNOWLEDGE_SECTION => read_one(&content, &mut notes.knowledge),
                REPORTERS_SECTION => read_one(&content, &mut notes.reporters),
                // A later build wrote it.
                _ => Ok(()),
            };
            decoded.map_err(|error| NotesError::Section(number, error))?;
        }
        Ok(notes)
    }
}

fn add_section<T: Serialize>(
    sections: &mut Vec<WireSection>,
    number: u32,
    content: &[T],
) -> Result<(), postcard::Error> {
    if !content.is_empty() {
        sections.push(WireSection(number, postcard::to_allocvec(content)?));
    }
    Ok(())
}

fn read_section<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    content: &mut Vec<T>,
) -> Result<(), postcard::Error> {
    *content = postcard::from_bytes(bytes)?;
    Ok(())
}

fn read_one<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
    content: &mut Option<T>,
) -> Result<(), postcard::Error> {
    let mut items = Vec::new();
    read_section(bytes, &mut items)?;
    *content = items.pop();
    Ok(())
}

impl From<&LimitStatement> for WireStatement {
    fn from(statement: &LimitStatement) -> Self {
        WireStatement(
            statement.instance,
            statement.started_at_unix_ms,
            statement.number,
            statement.per_s,
        )
    }
}

impl From<&WireStatement> for LimitStatement {
    fn from(wire: &WireStatement) -> Self {
        LimitStatement {
            instance: wire.0,
            started_at_unix_ms: wire.1,
            number: wire.2,
            // A rate that no instance can have named says nothing of a limit.
            per_s: wire.3.filter(|rate| rate.is_finite() && *rate >= 0.0),
        }
    }
}

impl From<&CrashSuspicion> for WireSuspicion {
    fn from(suspicion: &CrashSuspicion) -> Self {
        let crashed = suspicion.crashed.iter();
        let starts = crashed.map(|start| (start.instance, start.started_at_unix_ms));
        WireSuspicion(
            suspicion.request,
            suspicion.round,
            starts.collect(),
            suspicion.age_ms,
        )
    }
}

impl From<&WireSuspicion> for CrashSuspicion {
    fn from(wire: &WireSuspicion) -> Self {
        let starts = wire
            .2
            .iter()
            .map(|(instance, started_at_unix_ms)| DepartureNotice {
                instance: *instance,
                started_at_unix_ms: *started_at_unix_ms,
            });
        CrashSuspicion {
            request: wire.0,
            round: wire.1,
            crashed: starts.collect(),
            age_ms: wire.3,
        }
    }
}

impl WireGrant {
    /// A number of permits for the service whose name has the hash `service`.
    pub(crate) fn new(service: u32, count: u32) -> Self {
        WireGrant(service, count)
    }

    /// Hash and number.
    pub(crate) fn parts(self) -> (u32, u32) {
        (self.0, self.1)
    }
}

impl From<&PermitGrant> for WireGrant {
    fn from(grant: &PermitGrant) -> Self {
        WireGrant(grant.instance, grant.count)
    }
}

impl From<&WireGrant> for PermitGrant {
    fn from(wire: &WireGrant) -> Self {
        PermitGrant {
            instance: wire.0,
            count: wire.1,
        }
    }
}
