//! What this instance has read from the store, for others that it does not serve.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Message;

#[derive(Debug, Default)]
struct Read {
    version: u64,
    objects: BTreeMap<String, String>,
}

/// `Known` holds the objects of two kinds, as of a version of the store.
#[derive(Debug, Default)]
pub struct Known {
    routes: Mutex<Read>,
    servers: Mutex<Read>,
}

impl Known {
    fn of(&self, kind: Kind) -> &Mutex<Read> {
        match kind {
            Kind::Routes => &self.routes,
            Kind::Servers => &self.servers,
        }
    }

    /// The version as of which a kind is known, 0 for never.
    pub fn version(&self, kind: Kind) -> u64 {
        self.of(kind).lock().version
    }

    /// Takes a whole list.
    pub fn replace(&self, kind: Kind, version: u64, objects: &[Object]) {
        let mut read = self.of(kind).lock();
        if version < read.version {
            return;
        }
        let objects = objects.iter();
        read.objects = objects
            .map(|o| (o.name.clone(), o.content.get().to_string()))
            .collect();
        read.version = version;
    }

    /// Takes one change; the version is raised by [`Known::reached`].
    pub fn change(&self, kind: Kind, object: &Object, is_removed: bool) {
        let mut read = self.of(kind).lock();
        match is_removed {
            true => read.objects.remove(&object.name),
            false => {
                let content = object.content.get().to_string();
                read.objects.insert(object.name.clone(), content)
            }
        };
    }

    /// All changes up to `version` were taken.
    pub fn reached(&self, kind: Kind, version: u64) {
        let mut read = self.of(kind).lock();
        read.version = read.version.max(version);
    }

    /// The answer to an instance that asks.
    pub fn answer(&self, message: Message) -> Answer {
        let read = self.of(message.kind).lock();
        if read.version <= message.version {
            return Answer::Same;
        }
        Answer::Newer {
            version: read.version,
            objects: read.objects.clone().into_iter().collect(),
        }
    }
}
