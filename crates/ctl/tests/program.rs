//! Exit status of `celeryshorectl`.

use std::process::Command;

fn status(args: &[&str]) -> Option<i32> {
    let program = env!("CARGO_BIN_EXE_celeryshorectl");
    let output = Command::new(program).args(args).output().unwrap();
    output.status.code()
}

#[test]
fn exit_status() {
    assert_eq!(status(&["--help"]), Some(0));
    assert_eq!(status(&["--version"]), Some(0));
    assert_eq!(status(&["check", "/dev/null"]), Some(1));
    assert_eq!(status(&["check", "/absent/rules"]), Some(1));
    assert_eq!(status(&["dump", "127.0.0.1:1"]), Some(1));
    assert_eq!(status(&["chekc"]), Some(2));
    assert_eq!(status(&[]), Some(2));
}
