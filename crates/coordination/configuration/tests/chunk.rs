//! Documents are reassembled from their chunks, and a change affects few of them.

use bytes::Bytes;
use hemlockwind_configuration::Chunks;
use hemlockwind_configuration::Head;
use hemlockwind_configuration::MAX_CHUNK_BYTES;
use hemlockwind_configuration::Tree;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::config::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn head(tree: &Tree, len: usize) -> Head {
    Head {
        version: Version(1),
        root: tree.root,
        depth: tree.depth,
        len: len as u64,
        recent: Vec::new(),
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5eed_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn assemble_any_body(seed in prop::collection::vec(any::<u8>(), 0..2_000), n in 0..40_usize) {
        let body = Bytes::from(seed.repeat(n));
        let tree = Tree::new(&body);
        let head = head(&tree, body.len());
        let mut chunks = Chunks::default();
        // Chunks arrive as they are requested, from the root down.
        for _ in 0..10_000 {
            let missing = chunks.missing(&head, 3);
            if missing.is_empty() {
                break;
            }
            prop_assert_eq!(chunks.assemble(&head), None);
            for digest in missing {
                let chunk = tree.chunks.iter().find(|(d, _)| *d == digest);
                prop_assert!(chunk.unwrap().1.len() <= MAX_CHUNK_BYTES);
                chunks.insert(chunk.unwrap().1.clone());
            }
        }
        prop_assert_eq!(chunks.assemble(&head), Some(body));
    }

    #[test]
    fn visit_hostile_nodes(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 1..8),
        depth in any::<u8>(),
        len in any::<u64>(),
    ) {
        // Nodes that refer to themselves, to each other and to nothing must cause neither
        // a panic nor an endless walk.
        let mut chunks = Chunks::default();
        let digests: Vec<u8> = parts.iter().flat_map(|part| hemlockwind_configuration::Digest::of(part).0).collect();
        parts.into_iter().for_each(|part| chunks.insert(part.into()));
        let top = Bytes::from(digests.repeat(20));
        chunks.insert(top.clone());
        let mut head = head(&Tree::new(&top), 0);
        head.root = hemlockwind_configuration::Digest::of(&top);
        head.depth = depth;
        head.len = len;
        chunks.missing(&head, 64);
        chunks.assemble(&head);
    }
}

#[test]
fn tree_one_record_changed() {
    let record = |i: usize, share: usize| {
        format!(
            "{{\"name\":\"organisation-{i}\",\"share\":{share},\"key\":\"{:064x}\"}}\n",
            i * 7_919
        )
    };
    let body = |changed| -> Bytes {
        let records = (0..23_000).map(|i| record(i, if i == changed { 99 } else { i % 7 }));
        records.collect::<String>().into()
    };
    let tree = Tree::new(&body(usize::MAX));
    let old_digests: HashSet<_> = tree.chunks.iter().map(|(digest, _)| *digest).collect();
    let sizes = [10, 5_000, 11_500, 22_999].map(|changed| {
        let after = Tree::new(&body(changed));
        let new_chunks = after
            .chunks
            .iter()
            .filter(|(d, _)| !old_digests.contains(d));
        new_chunks.fold((0, 0), |(n, size), (_, chunk)| (n + 1, size + chunk.len()))
    });
    println!(
        "{} chunks; new ones and their bytes: {sizes:?}",
        old_digests.len()
    );
    assert!(sizes.iter().all(|&(n, size)| n <= 10 && size <= 8 << 10));
}
