//! The one error type, with a number for each kind that never changes meaning.
//!
//! docs/ERRORS.md is the table of these numbers; a test holds the two together.

use std::time::Duration;

use displaydoc::Display;
use strum::EnumDiscriminants;
use strum::EnumIter;

/// `Result` is the result of anything that can fail with [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// `Error` is all that can go wrong, each kind with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Display, EnumDiscriminants)]
#[strum_discriminants(
    name(Code),
    derive(EnumIter, Hash),
    doc = "`Code` is the kind of an error."
)]
#[strum_discriminants(allow(missing_docs))]
pub enum Error {
    /// The request's body can't be read: {0}.
    Body(String),
    /// The request's headers can't be used: {0}.
    Header(String),
    /// The API key is missing or belongs to no organisation.
    ApiKey,
    /// The organisation may not use this: {0}.
    Forbidden(String),
    /// There is no pipeline or service of this name: {0}.
    UnknownTarget(String),
    /// The request is larger than the limit of {0} bytes.
    TooLarge(usize),
    /// The sender was too slow: {0}.
    SlowSender(String),
    /// The idempotency key can't be used: {0}.
    IdempotencyKey(String),
    /// The idempotency key was used before for another request.
    KeyReused,

    /// The queue of this organisation and rank is full; retry in {0:?}.
    QueueFull(Duration),
    /// The deadline can't be met; retry in {0:?}.
    DeadlineUnmeetable(Duration),
    /// The deadline passed before the request started.
    DeadlinePassed,
    /// The retry budget is used up.
    RetryBudget,
    /// This instance is stopping.
    Stopping,
    /// The home of this key's slot can't be reached, so the request was not sent: {0}.
    ClaimUnavailable(String),

    /// No backend servers join to a whole pipeline for {0}.
    NoPath(String),
    /// The backend server refused before it started: {0}.
    BackendRefused(String),
    /// The backend server failed: {0}.
    BackendFailed(String),
    /// The backend server can't be reached: {0}.
    BackendUnreachable(String),
    /// The backend server's answer can't be read: {0}.
    BackendAnswer(String),
    /// The request was sent and its outcome is unknown: {0}.
    OutcomeUnknown(String),
    /// The range of layers can't be used: {0}.
    Layers(String),
    /// The engine takes no path of this form: {0}.
    PathMalformed(String),

    /// The configuration has faults: {0}.
    Config(String),
    /// The configuration changed meanwhile: {0}.
    ConfigConflict(String),
    /// The sheet has faults: {0}.
    Sheet(String),
    /// The sheet is for another day: {0}.
    SheetDay(String),
    /// No configuration is in force yet.
    NoConfig,

    /// The peer did not prove that it knows the shared key.
    PeerKey,
    /// The peer speaks another version of the protocol: {0}.
    PeerVersion(String),
    /// The peer's message can't be read: {0}.
    PeerFrame(String),
    /// The peer can't be reached: {0}.
    PeerUnreachable(String),

    /// The platform can't be reached or refuses: {0}.
    PlatformUnavailable(String),
    /// The platform's answer can't be read: {0}.
    PlatformAnswer(String),
    /// It is not known whether the platform took the change: {0}.
    PlatformUnknown(String),
    /// The lease is held by another or has lapsed: {0}.
    Lease(String),

    /// The settings have faults: {0}.
    Settings(String),
    /// The admin token is missing or wrong.
    AdminToken,
    /// A socket can't be opened: {0}.
    Listen(String),
    /// The command line can't be used: {0}.
    Usage(String),
}

impl Code {
    /// The number of this kind, the same for ever.
    pub const fn number(self) -> u16 {
        match self {
            Self::Body => 1001,
            Self::Header => 1002,
            Self::ApiKey => 1003,
            Self::Forbidden => 1004,
            Self::UnknownTarget => 1005,
            Self::TooLarge => 1006,
            Self::SlowSender => 1007,
            Self::IdempotencyKey => 1008,
            Self::KeyReused => 1009,
            Self::QueueFull => 2001,
            Self::DeadlineUnmeetable => 2002,
            Self::DeadlinePassed => 2003,
            Self::RetryBudget => 2004,
            Self::Stopping => 2005,
            Self::ClaimUnavailable => 2006,
            Self::NoPath => 3001,
            Self::BackendRefused => 3002,
            Self::BackendFailed => 3003,
            Self::BackendUnreachable => 3004,
            Self::BackendAnswer => 3005,
            Self::OutcomeUnknown => 3006,
            Self::Layers => 3007,
            Self::PathMalformed => 3008,
            Self::Config => 4001,
            Self::ConfigConflict => 4002,
            Self::Sheet => 4003,
            Self::SheetDay => 4004,
            Self::NoConfig => 4005,
            Self::PeerKey => 5001,
            Self::PeerVersion => 5002,
            Self::PeerFrame => 5003,
            Self::PeerUnreachable => 5004,
            Self::PlatformUnavailable => 6001,
            Self::PlatformAnswer => 6002,
            Self::PlatformUnknown => 6003,
            Self::Lease => 6004,
            Self::Settings => 7001,
            Self::AdminToken => 7002,
            Self::Listen => 7003,
            Self::Usage => 7004,
        }
    }

    /// The HTTP status that goes with this kind.
    pub const fn status(self) -> u16 {
        match self {
            Self::Body | Self::Header | Self::IdempotencyKey | Self::Layers | Self::Usage => 400,
            Self::ApiKey | Self::AdminToken | Self::PeerKey => 401,
            Self::Forbidden => 403,
            Self::UnknownTarget => 404,
            Self::SlowSender => 408,
            Self::ConfigConflict | Self::SheetDay => 409,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Config | Self::Sheet | Self::Settings => 422,
            Self::QueueFull | Self::DeadlineUnmeetable => 429,
            Self::BackendRefused
            | Self::BackendFailed
            | Self::BackendUnreachable
            | Self::BackendAnswer
            | Self::OutcomeUnknown
            | Self::PeerVersion
            | Self::PeerFrame
            | Self::PlatformAnswer => 502,
            Self::RetryBudget
            | Self::Stopping
            | Self::ClaimUnavailable
            | Self::NoPath
            | Self::PathMalformed
            | Self::NoConfig
            | Self::PeerUnreachable
            | Self::PlatformUnavailable
            | Self::PlatformUnknown
            | Self::Lease
            | Self::Listen => 503,
            Self::DeadlinePassed => 504,
        }
    }
}

/// One constructor for each kind that carries a sentence.
macro_rules! constructors {
    ($($(#[$doc:meta])* $name:ident => $variant:ident;)*) => {
        impl Error {
            $($(#[$doc])* pub fn $name(why: impl Into<String>) -> Self {
                Self::$variant(why.into())
            })*
        }
    };
}

constructors! {
    /// The request's body can't be read.
    body => Body;
    /// The request's headers can't be used.
    header => Header;
    /// The organisation may not use this.
    forbidden => Forbidden;
    /// There is no such pipeline or service.
    unknown_target => UnknownTarget;
    /// The sender was too slow.
    slow_sender => SlowSender;
    /// The idempotency key can't be used.
    idempotency_key => IdempotencyKey;
    /// The home of the key's slot can't be reached.
    claim_unavailable => ClaimUnavailable;
    /// No backend servers join to a whole pipeline.
    no_path => NoPath;
    /// The backend server refused before it started.
    backend_refused => BackendRefused;
    /// The backend server failed.
    backend_failed => BackendFailed;
    /// The backend server can't be reached.
    backend_unreachable => BackendUnreachable;
    /// The backend server's answer can't be read.
    backend_answer => BackendAnswer;
    /// The request was sent and its outcome is unknown.
    outcome_unknown => OutcomeUnknown;
    /// The range of layers can't be used.
    layers => Layers;
    /// The engine takes no path of this form.
    path_malformed => PathMalformed;
    /// The configuration has faults.
    config => Config;
    /// The configuration changed meanwhile.
    config_conflict => ConfigConflict;
    /// The sheet has faults.
    sheet => Sheet;
    /// The sheet is for another day.
    sheet_day => SheetDay;
    /// The peer speaks another version.
    peer_version => PeerVersion;
    /// The peer's message can't be read.
    peer_frame => PeerFrame;
    /// The peer can't be reached.
    peer_unreachable => PeerUnreachable;
    /// The platform can't be reached or refuses.
    platform_unavailable => PlatformUnavailable;
    /// The platform's answer can't be read.
    platform_answer => PlatformAnswer;
    /// It is not known whether the platform took the change.
    platform_unknown => PlatformUnknown;
    /// The lease is held by another or has lapsed.
    lease => Lease;
    /// The settings have faults.
    settings => Settings;
    /// A socket can't be opened.
    listen => Listen;
    /// The command line can't be used.
    usage => Usage;
}

impl Error {
    /// The kind of this error.
    pub fn code(&self) -> Code {
        Code::from(self)
    }

    /// When a caller may try again, for refusals that know it.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::QueueFull(after) | Self::DeadlineUnmeetable(after) => Some(*after),
            _ => None,
        }
    }
}

impl std::error::Error for Error {}
