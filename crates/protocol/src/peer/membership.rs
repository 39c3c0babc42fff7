//! Probes, and what instances tell each other of who is live or leaving.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_membership as domain;

/// The size of a name at most, in bytes.
const NAME_LIMIT_BYTES: usize = 128;
/// Entries in one message at most.
const LIST_LIMIT: usize = 8_192;

/// `Message` is the wire form of [`domain::Message`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Are you there?
    Probe(u64, Told),
    /// The probe of this number was answered.
    Ack(u64, Told),
    /// Probe the instance of this name, and acknowledge with this number.
    ProbeFor(u64, String, Told),
    /// News without a question.
    Tell(Told),
    /// The whole table; the answer is one as well when asked for.
    Sync(Told, bool),
}

/// `Told` goes with every message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Told {
    /// The sender, as it believes of itself.
    pub me: News,
    /// A number that is the same where the same is believed of instances.
    pub digest: u64,
    /// A number that is the same where the same backend servers are leaving.
    pub departures_digest: u64,
    /// News of instances.
    pub news: Vec<News>,
    /// News of backend servers.
    pub departures: Vec<Departure>,
}

/// `News` is what one instance believes of another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct News {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Orders what is said of one instance; higher wins.
    pub incarnation: u64,
    /// What it is believed to be.
    pub state: State,
}

/// `State` is what an instance is believed to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Live,
    /// It did not answer and may deny its death.
    Suspect,
    /// It is stopping.
    Leaving,
    /// It is gone.
    Dead,
}

/// `Departure` tells whether a backend server is leaving.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Departure {
    /// The backend server's name.
    pub name: String,
    /// Orders what is said of one backend server; higher wins.
    pub incarnation: u64,
    /// Whether it is leaving, or back again.
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

impl From<domain::MemberUpdate> for News {
    fn from(news: domain::MemberUpdate) -> Self {
        Self {
            name: news.identity.name.as_ref().into(),
            data_centre: news.identity.data_centre.as_ref().into(),
            addr: news.identity.addr,
            incarnation: news.incarnation.0,
            state: news.state.into(),
        }
    }
}

impl TryFrom<News> for domain::MemberUpdate {
    type Error = Error;

    fn try_from(news: News) -> Result<Self> {
        Ok(Self {
            identity: domain::Identity {
                name: read_name(news.name)?.into(),
                data_centre: read_name(news.data_centre)?.into(),
                addr: news.addr,
            },
            incarnation: domain::Incarnation(news.incarnation),
            state: news.state.into(),
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
            name: read_name(departure.name)?.into(),
            incarnation: departure.incarnation,
            leaving: departure.leaving,
        })
    }
}

impl From<domain::Payload> for Told {
    fn from(told: domain::Payload) -> Self {
        Self {
            me: told.sender.into(),
            digest: told.digest,
            departures_digest: told.departures_digest,
            news: told.updates.into_iter().map(News::from).collect(),
            departures: told.departures.into_iter().map(Departure::from).collect(),
        }
    }
}

impl TryFrom<Told> for domain::Payload {
    type Error = Error;

    fn try_from(told: Told) -> Result<Self> {
        if told.news.len().max(told.departures.len()) > LIST_LIMIT {
            return Err(Error::peer_frame("a list over the limit"));
        }
        let news = told.news.into_iter().map(domain::MemberUpdate::try_from);
        let departures = told.departures.into_iter();
        let departures = departures.map(domain::Departure::try_from);
        Ok(Self {
            sender: told.me.try_into()?,
            digest: told.digest,
            departures_digest: told.departures_digest,
            updates: news.collect::<Result<_>>()?,
            departures: departures.collect::<Result<_>>()?,
        })
    }
}

impl From<domain::Message> for Message {
    fn from(message: domain::Message) -> Self {
        match message {
            domain::Message::Probe(number, told) => Self::Probe(number, told.into()),
            domain::Message::Ack(number, told) => Self::Ack(number, told.into()),
            domain::Message::ProbeFor(number, target, told) => {
                Self::ProbeFor(number, target.as_ref().into(), told.into())
            }
            domain::Message::Gossip(told) => Self::Tell(told.into()),
            domain::Message::Sync(told, reply) => Self::Sync(told.into(), reply),
        }
    }
}

impl TryFrom<Message> for domain::Message {
    type Error = Error;

    fn try_from(message: Message) -> Result<Self> {
        Ok(match message {
            Message::Probe(number, told) => Self::Probe(number, told.try_into()?),
            Message::Ack(number, told) => Self::Ack(number, told.try_into()?),
            Message::ProbeFor(number, target, told) => {
                Self::ProbeFor(number, read_name(target)?.into(), told.try_into()?)
            }
            Message::Tell(told) => Self::Gossip(told.try_into()?),
            Message::Sync(told, reply) => Self::Sync(told.try_into()?, reply),
        })
    }
}

fn read_name(name: String) -> Result<String> {
    if name.is_empty() || name.len() > NAME_LIMIT_BYTES {
        return Err(Error::peer_frame("a name that is empty or over the limit"));
    }
    Ok(name)
}
