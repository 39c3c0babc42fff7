//! Probes, and updates about which instances and backend servers are live or leaving.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_membership as domain;

/// Maximum size of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of entries in one message.
const MAX_LIST_LEN: usize = 8_192;

/// `Message` is the wire form of [`domain::Message`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests an acknowledgement with the same number.
    Probe(u64, Payload),
    /// Acknowledges the probe with this number.
    Ack(u64, Payload),
    /// Requests a probe of the instance with this name, to be acknowledged with this number.
    ProbeFor(u64, String, Payload),
    /// Carries updates and requests no answer.
    Gossip(Payload),
    /// Carries the full table; the flag requests the receiver's table in return.
    Sync(Payload, bool),
}

/// `Payload` is the part that every message carries.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Payload {
    /// The sender's own state.
    pub sender: MemberUpdate,
    /// A digest that is equal at instances with the same view of instances.
    pub digest: u64,
    /// A digest that is equal at instances that record the same departures.
    pub departures_digest: u64,
    /// Updates about instances.
    pub updates: Vec<MemberUpdate>,
    /// Updates about backend servers.
    pub departures: Vec<Departure>,
}

/// `MemberUpdate` is the state of an instance in one incarnation.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Orders the updates about one instance; a higher number takes precedence.
    pub incarnation: u64,
    /// Its state.
    pub state: State,
}

/// `State` is the wire form of [`domain::State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// The instance answers probes.
    Live,
    /// The instance did not answer and may still refute the suspicion.
    Suspect,
    /// The instance is stopping.
    Leaving,
    /// The instance is gone.
    Dead,
}

/// `Departure` states whether a backend server is leaving.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// The backend server's name.
    pub name: String,
    /// Orders the updates about one backend server; a higher number takes precedence.
    pub incarnation: u64,
    /// Whether it is leaving; `false` if it is back.
    pub leaving: bool,
}

impl From<domain::State> for State {
    fn from(state: domain::State) -> Self {
        match state {
            domain::State::Live => Self::Live,
            domain::State::Suspect => Self::Suspect,
            domain::State::Leaving => Self::Leaving,
            domain::State::Dead => Self::Dead,
        }
    }
}

impl From<State> for domain::State {
    fn from(state: State) -> Self {
        match state {
            State::Live => Self::Live,
            State::Suspect => Self::Suspect,
            State::Leaving => Self::Leaving,
            State::Dead => Self::Dead,
        }
    }
}

impl From<domain::MemberUpdate> for MemberUpdate {
    fn from(update: domain::MemberUpdate) -> Self {
        Self {
            name: update.identity.name.as_ref().into(),
            data_centre: update.identity.data_centre.as_ref().into(),
            addr: update.identity.addr,
            incarnation: update.incarnation.0,
            state: update.state.into(),
        }
    }
}

impl TryFrom<MemberUpdate> for domain::MemberUpdate {
    type Error = Error;

    fn try_from(update: MemberUpdate) -> Result<Self> {
        Ok(Self {
            identity: domain::Identity {
                name: checked_name(update.name)?.into(),
                data_centre: checked_name(update.data_centre)?.into(),
                addr: update.addr,
            },
            incarnation: domain::Incarnation(update.incarnation),
            state: update.state.into(),
        })
    }
}

impl From<domain::Departure> for Departure {
    fn from(departure: domain::Departure) -> Self {
        Self {
            name: departure.name.as_ref().into(),
            incarnation: departure.incarnation,
            leaving: departure.leaving,
        }
    }
}

impl TryFrom<Departure> for domain::Departure {
    type Error = Error;

    fn try_from(departure: Departure) -> Result<Self> {
        Ok(Self {
            name: checked_name(departure.name)?.into(),
            incarnation: departure.incarnation,
            leaving: departure.leaving,
        })
    }
}

impl From<domain::Payload> for Payload {
    fn from(payload: domain::Payload) -> Self {
        Self {
            sender: payload.sender.into(),
            digest: payload.digest,
            departures_digest: payload.departures_digest,
            updates: payload
                .updates
                .into_iter()
                .map(MemberUpdate::from)
                .collect(),
            departures: payload
                .departures
                .into_iter()
                .map(Departure::from)
                .collect(),
        }
    }
}

impl TryFrom<Payload> for domain::Payload {
    type Error = Error;

    fn try_from(payload: Payload) -> Result<Self> {
        if payload.updates.len().max(payload.departures.len()) > MAX_LIST_LEN {
            return Err(Error::peer_frame("a list is too long"));
        }
        let updates = payload
            .updates
            .into_iter()
            .map(domain::MemberUpdate::try_from);
        let departures = payload.departures.into_iter();
        let departures = departures.map(domain::Departure::try_from);
        Ok(Self {
            sender: payload.sender.try_into()?,
            digest: payload.digest,
            departures_digest: payload.departures_digest,
            updates: updates.collect::<Result<_>>()?,
            departures: departures.collect::<Result<_>>()?,
        })
    }
}

impl From<domain::Message> for Message {
    fn from(message: domain::Message) -> Self {
        match message {
            domain::Message::Probe(number, payload) => Self::Probe(number, payload.into()),
            domain::Message::Ack(number, payload) => Self::Ack(number, payload.into()),
            domain::Message::ProbeFor(number, target, payload) => {
                Self::ProbeFor(number, target.as_ref().into(), payload.into())
            }
            domain::Message::Gossip(payload) => Self::Gossip(payload.into()),
            domain::Message::Sync(payload, reply) => Self::Sync(payload.into(), reply),
        }
    }
}

impl TryFrom<Message> for domain::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self> {
        Ok(match message {
            Message::Probe(number, payload) => Self::Probe(number, payload.try_into()?),
            Message::Ack(number, payload) => Self::Ack(number, payload.try_into()?),
            Message::ProbeFor(number, target, payload) => {
                Self::ProbeFor(number, checked_name(target)?.into(), payload.try_into()?)
            }
            Message::Gossip(payload) => Self::Gossip(payload.try_into()?),
            Message::Sync(payload, reply) => Self::Sync(payload.try_into()?, reply),
        })
    }
}

fn checked_name(name: String) -> Result<String> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(Error::peer_frame("a name is empty or too long"));
    }
    Ok(name)
}
