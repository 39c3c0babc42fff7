//! Which data centres count as silent.

use std::net::SocketAddr;

use hemlockwind_gateway::peers::Instance;
use hemlockwind_gateway::peers::Peers;
use hemlockwind_peer::SharedKey;

fn instance(name: &str, data_centre: &str) -> Instance {
    // Nothing listens there.
    let addr: SocketAddr = "127.0.0.1:9".parse().unwrap();
    Instance {
        name: name.into(),
        data_centre: data_centre.into(),
        addr,
    }
}

fn peers() -> Peers {
    let peers = Peers::new(
        instance("front-1", "east"),
        SharedKey::new(b"a key of tests"),
    );
    peers.put(instance("front-2", "west"));
    peers.put(instance("front-3", "west"));
    peers.put(instance("front-4", "east"));
    peers
}

#[test]
fn silent_data_centres_none_before_a_probe() {
    assert!(peers().silent_data_centres().is_empty());
}

#[tokio::test]
async fn silent_data_centres_when_no_instance_answers() {
    let peers = peers();
    peers.sample().await;
    // All of a data centre are probed once one is silent; the own one never counts.
    assert_eq!(peers.silent_data_centres(), ["west".into()]);
    assert_eq!(&*peers.home("drafts").data_centre, "east");
}
