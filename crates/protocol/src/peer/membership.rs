//! Probes, and what instances tell each other of who is live or leaving.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// `Probe` asks whether an instance is there, and carries news.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Probe {
    /// News of instances.
    pub instances: Vec<News>,
    /// Names of backend servers that are leaving.
    pub leaving: Vec<String>,
    /// The version of the configuration in force.
    pub config: u64,
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
    /// The count of its starts and of its own denials of death; higher wins.
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
    /// It did not answer; others are asked.
    Suspect,
    /// It is stopping.
    Leaving,
    /// It is gone.
    Dead,
}
