//! The names that one process has interned.

use crate::names::BackendServerKey;
use crate::names::DataCentreKey;
use crate::names::InstanceKey;
use crate::names::ModelKey;
use crate::names::Names;
use crate::names::OrganisationKey;
use crate::names::PipelineKey;
use crate::names::ServiceKey;

/// `Directory` holds the names of every kind, so that a name has the same key
/// in each version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Backend servers.
    pub backend_servers: Names<BackendServerKey>,
    /// Data centres.
    pub data_centres: Names<DataCentreKey>,
    /// Instances.
    pub instances: Names<InstanceKey>,
    /// Models.
    pub models: Names<ModelKey>,
    /// Organisations.
    pub organisations: Names<OrganisationKey>,
    /// Pipelines.
    pub pipelines: Names<PipelineKey>,
    /// Plain services.
    pub services: Names<ServiceKey>,
}
