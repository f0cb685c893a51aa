//! Texts in parts, and compression.

use bytes::Bytes;
use celeryshore_rules::Category;
use celeryshore_rules::MAX_TEXT_BYTES;
use celeryshore_rules::Manifest;
use celeryshore_rules::pack;
use celeryshore_rules::split;
use celeryshore_rules::unpack;
use insta::assert_snapshot;

const TEXT: &str = "epoch 1  # ops\nzone perth region=r  # ops\nzone oban region=r  # ops\n";

fn parts() -> (Manifest, Vec<Bytes>) {
    let split = split(TEXT.as_bytes(), 30, "ops");
    let manifest = Manifest::from_slice(&split.manifest).unwrap().unwrap();
    let values = split.parts.into_iter().map(|(_, value)| value).collect();
    (manifest, values)
}

#[test]
fn joined_parts() {
    let (manifest, values) = parts();
    assert_eq!(values.len(), 3);
    assert_eq!(manifest.join(&values).unwrap(), TEXT);
}

#[test]
fn missing_part() {
    let (manifest, mut values) = parts();
    values.pop();
    let err = manifest.join(&values).unwrap_err();
    assert_eq!(err.classify(), Category::Manifest);
    assert_snapshot!(err, @r#"invalid manifest: expected every part with the digest in the manifest"#);
}

#[test]
fn truncated_part() {
    let (manifest, mut values) = parts();
    values[1].truncate(5);
    assert!(manifest.join(&values).is_err());
}

#[test]
fn swapped_parts() {
    let (manifest, mut values) = parts();
    values.swap(0, 1);
    assert!(manifest.join(&values).is_err());
}

#[test]
fn oversized_text() {
    let line = [b'#'; 1_023];
    let text = [&line[..], b"\n"]
        .concat()
        .repeat(MAX_TEXT_BYTES / 1_024 + 1);
    let split = split(&text, 900_000, "ops");
    let manifest = Manifest::from_slice(&split.manifest).unwrap().unwrap();
    let values: Vec<_> = split.parts.into_iter().map(|(_, value)| value).collect();
    assert_snapshot!(manifest.join(&values).unwrap_err(), @r#"invalid manifest: expected a text of at most 8 MiB"#);
}

#[test]
fn rules_text() {
    assert!(Manifest::from_slice(TEXT.as_bytes()).is_none());
    assert!(Manifest::from_slice(b"").is_none());
    assert!(Manifest::from_slice(b"# only a comment\n").is_none());
    assert!(Manifest::from_slice(b"partial x  # ops\n").is_none());
}

#[test]
fn invalid_lines() {
    let value = b"# parts\npart a  # ops\npart b 12  # ops\nzone c region=r  # ops\npart d 12\n";
    let err = Manifest::from_slice(value).unwrap().unwrap_err();
    assert_snapshot!(err, @r#"
    rules:2:1: expected `part KEY DIGEST`, found "part"
    rules:3:8: expected a digest of 64 hexadecimal digits, found "12"
    rules:4:1: expected `part KEY DIGEST`, found "zone"
    rules:5:10: expected `# who asked`, found the end of the line
    rules:5:8: expected a digest of 64 hexadecimal digits, found "12"
    "#);
}

#[test]
fn packed_text() {
    assert_eq!(unpack(&pack(TEXT.as_bytes())).unwrap(), TEXT);
    assert_eq!(unpack(&pack(b"")).unwrap(), "");
}

#[test]
fn decompression_bomb() {
    let bomb = pack(&vec![0; MAX_TEXT_BYTES + 1]);
    assert_snapshot!(unpack(&bomb).unwrap_err(), @r#"invalid packed text: expected a text of at most 8 MiB"#);
    assert_snapshot!(unpack(b"\xff\xff").unwrap_err(), @r#"invalid packed text: expected a compressed text"#);
}
