use super::*;

/// A field of the operator's file is misspelt, of the wrong type or out of range. The error must be
/// one line that names the field, and the program must not start.
#[test]
fn invalid_field_is_reported_in_one_line_that_names_it() {
    let cases = [
        ("[http2]\nlisten = 5\n", "http2.listen"),
        ("[http2]\nlisten = \"here\"\n", "http2.listen"),
        (
            "[http2]\nlisten = \"127.0.0.1:1\"\nstreams = 0\n",
            "http2.streams",
        ),
        (
            "[http2]\nlisten = \"127.0.0.1:1\"\nstreams = -1\n",
            "http2.streams",
        ),
        ("[http2]\nlisten = \"127.0.0.1:1\"\nspeed = 1\n", "speed"),
        ("[http2]\n", "listen"),
        (
            "[plugin]\nscript = \"x\"\non_error = \"maybe\"\n",
            "plugin.on_error",
        ),
        ("[plugin]\nscript = \"x\"\nsize = 0\n", "plugin.size"),
        ("[inventory]\nfile = 1\n", "inventory.file"),
        (
            "[inventory]\nfile = \"x\"\nshorter = 2\n",
            "inventory.shorter",
        ),
        (
            "[routes]\nfile = \"r.toml\"\n[[routes.rule]]\nname = \"a\"\n",
            "routes.file",
        ),
        ("[group]\nlisten = \"127.0.0.1:1\"\n", "group"),
        (
            "[group]\nlisten = \"x\"\nfolder = \"f\"\nmembers = {}\n",
            "group.listen",
        ),
        (
            "[group]\nlisten = \"127.0.0.1:1\"\nfolder = \"f\"\nmembers = {}\n",
            "group.members",
        ),
        ("[htpp2]\n", "htpp2"),
        ("[http2\n", "line 1"),
    ];
    for (text, expected_name) in cases {
        let error = OperatorFile::parse(text).unwrap_err().to_string();
        assert!(
            error.contains(expected_name) && error.lines().count() == 1,
            "{error}"
        );
    }
    assert!(
        OperatorFile::parse(include_str!("../../../deploy/http2.toml"))
            .unwrap()
            .http2
            .is_some()
    );
    assert!(
        OperatorFile::parse(include_str!("../../../examples/operator.toml"))
            .unwrap()
            .plugin
            .is_some()
    );
}
