use super::*;

/// An operator's file has a field that is misspelt, of the wrong type or beyond its range: the program says in one
/// line which, and does not start.
#[test]
fn what_is_wrong_is_one_line_that_names_the_field() {
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
    for (text, want) in cases {
        let said = OperatorFile::parse(text).unwrap_err().to_string();
        assert!(said.contains(want) && said.lines().count() == 1, "{said}");
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
