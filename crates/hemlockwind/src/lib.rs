//! A router for pipelines over mixed accelerators.
//!
//! This crate re-exports the library crates, so that a program needs only one dependency.
//! Each layer depends only on the layers below it:
//!
//! | Layer        | Crates                                                                      |
//! |--------------|-----------------------------------------------------------------------------|
//! | process      | [`daemon`], [`gateway`], [`settings`]                                       |
//! | transport    | [`peer`], [`backend`], [`platform`], [`tasks`], [`telemetry`]               |
//! | protocol     | [`protocol`]                                                                |
//! | coordination | [`membership`], [`lease`], [`claims`], [`configuration`], [`sheet`]         |
//! | state        | [`routing`], [`queueing`], [`limits`], [`quarantine`], [`stream`], [`paths`], [`placement`] |
//! | core         | [`core`]                                                                    |

pub use hemlockwind_backend as backend;
pub use hemlockwind_claims as claims;
pub use hemlockwind_configuration as configuration;
pub use hemlockwind_core as core;
pub use hemlockwind_daemon as daemon;
pub use hemlockwind_gateway as gateway;
pub use hemlockwind_lease as lease;
pub use hemlockwind_limits as limits;
pub use hemlockwind_membership as membership;
pub use hemlockwind_paths as paths;
pub use hemlockwind_peer as peer;
pub use hemlockwind_placement as placement;
pub use hemlockwind_platform as platform;
pub use hemlockwind_protocol as protocol;
pub use hemlockwind_quarantine as quarantine;
pub use hemlockwind_queueing as queueing;
pub use hemlockwind_routing as routing;
pub use hemlockwind_settings as settings;
pub use hemlockwind_sheet as sheet;
pub use hemlockwind_stream as stream;
pub use hemlockwind_tasks as tasks;
pub use hemlockwind_telemetry as telemetry;
