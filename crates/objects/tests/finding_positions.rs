//! The position and message of each kind of finding.

use poplarspan_objects::{Source, check};

fn findings(files: &[(&str, &str)]) -> String {
    let sources: Vec<_> = files.iter().map(|(path, text)| Source::new(*path, *text)).collect();
    check(&sources).err().map(|findings| findings.to_string()).unwrap_or_default()
}

/// Checks the findings of one file `a`, in which `text` follows `format = 1` on line 1.
fn expect(text: &str, expected: &[&str]) {
    let found = findings(&[("a", &format!("format = 1\n{text}"))]);
    assert_eq!(found.lines().collect::<Vec<_>>(), expected, "in:\n{text}");
}

const RATE: &str = "[[rate]]\nname = \"r\"\nrate = \"5/s\"\nburst = 1\n";
const SECRET: &str = "ps_ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno-_";

fn digest(digit: char) -> String {
    format!("blake3:{}", digit.to_string().repeat(64))
}

/// An endpoint with `fields` from line 13 on, preceded by its zone and model on lines 2 to 9.
fn endpoint(fields: &str) -> String {
    format!(
        "[[zone]]\nname = \"z\"\nstate = \"in\"\n[[model]]\nname = \"m\"\nmax_context = 10\n\
         max_output = 10\nversion = \"1\"\n[[endpoint]]\nname = \"e\"\nzone = \"z\"\n{fields}"
    )
}

const SERVES: &str = "address = \"127.0.0.1:80\"\nmodels = [\"m\"]\n";

/// Guards against references to objects that do not exist, which would only fail at run time.
#[test]
fn unknown_references() {
    expect(
        &format!("{RATE}[[team]]\nname = \"t\"\nrate = \"rr\"\nbudget = \"b\"\n"),
        &[
            "a:8:8: error: unknown rate \"rr\"; did you mean `r`?",
            "a:9:10: error: unknown budget \"b\"",
        ],
    );
    let key = format!("[[key]]\nname = \"k\"\nteam = \"t\"\ndigest = \"{}\"\n", digest('a'));
    expect(&key, &["a:4:8: error: unknown team \"t\""]);
    let text = endpoint("address = \"127.0.0.1:80\"\nmodels = [\"m\", \"mm\"]\ncapacity = 1\n");
    expect(&text, &["a:14:16: error: unknown model \"mm\"; did you mean `m`?"]);
    let text = endpoint(&format!("{SERVES}capacity = 1\n")).replace("zone = \"z\"", "zone = \"y\"");
    expect(&text, &["a:12:8: error: unknown zone \"y\""]);
    let model = "[[model]]\nname = \"n\"\nmax_context = 9\nmax_output = 9\nversion = \"1\"\n";
    let route = "[[route]]\nname = \"c\"\npath = \"/c\"\nkind = \"chat\"\nmodel = \"nn\"\n";
    let text = format!("{model}aliases = [\"nn\"]\n{route}");
    expect(&text, &["a:12:9: error: unknown model \"nn\"; it is an alias of `n`"]);
}

/// Guards against two definitions of one name, even in different files.
#[test]
fn duplicate_names() {
    let text = format!("format = 1\n{RATE}");
    let expected = "b:3:8: error: duplicate rate `r`, see a:3:8";
    assert_eq!(findings(&[("a", &text), ("b", &text)]), expected);
}

/// Guards against rates that admit no request, and against rates too high to be a limit.
#[test]
fn impossible_rates() {
    let rate = |rate: &str, burst: &str| {
        format!("[[rate]]\nname = \"r\"\nrate = \"{rate}\"\nburst = {burst}\n")
    };
    expect(&rate("0/s", "1"), &["a:4:8: error: impossible rate: a rate must be above zero"]);
    expect(
        &rate("-5/s", "1"),
        &["a:4:8: error: `rate`: impossible rate: a rate must be above zero"],
    );
    expect(&rate("5/s", "0"), &["a:5:9: error: impossible rate: `burst` must be at least 1"]);
    expect(&rate("5/s", "-1"), &["a:5:9: error: `burst` is -1, out of range"]);
    let large = "impossible rate: a rate is at most 1000000/s";
    expect(&rate("1000001/s", "1"), &[&format!("a:4:8: error: {large}")]);
    let digits = rate("99999999999999999999/s", "1");
    expect(&digits, &["a:4:8: error: `rate`: impossible rate: too large"]);
    let burst = "a:5:9: error: impossible rate: `burst` is at most 1000000";
    expect(&rate("5/s", "1000001"), &[burst]);
}

/// Guards against routes without an endpoint, whose requests can only fail.
#[test]
fn unserved_routes() {
    let base = endpoint("address = \"127.0.0.1:80\"\nservice = \"orders\"\ncapacity = 1\n");
    let service =
        "[[route]]\nname = \"s\"\npath = \"/s\"\nkind = \"service\"\nservice = \"order\"\n";
    let message = "no endpoint serves service \"order\" of this route; did you mean `orders`?";
    expect(&format!("{base}{service}"), &[&format!("a:20:11: error: {message}")]);
    let chat = "[[route]]\nname = \"c\"\npath = \"/c\"\nkind = \"chat\"\n";
    let message = "a:19:8: error: no endpoint serves a model for this route";
    expect(&format!("{base}{chat}"), &[message]);
    let message = "a:20:9: error: no endpoint serves model `m` of this route";
    expect(&format!("{base}{chat}model = \"m\"\n"), &[message]);
}

/// Guards against misspelt fields and kinds that are silently ignored.
#[test]
fn unknown_fields() {
    expect(
        &format!("{RATE}burts = 2\n[[teem]]\nname = \"t\"\n"),
        &[
            "a:6:1: error: unknown field `burts`; did you mean `burst`?",
            "a:7:3: error: unknown object kind `teem`; did you mean `team`?",
        ],
    );
    expect(
        "[zone]\nname = \"z\"\n",
        &["a:2:1: error: `zone` must be written as `[[zone]]`, not as a table"],
    );
    expect("[[zone]]\nname = \"z\"\n", &["a:2:1: error: missing field `state`"]);
}

/// Guards against values without a unit, which could be read in another unit than the operator
/// meant.
#[test]
fn wrong_units() {
    let form = "a rate needs the unit requests per second, for example \"50/s\"";
    for rate in ["5", "5/min", "/s", "5 /s", "1e3/s"] {
        let text = RATE.replace("5/s", rate);
        expect(&text, &[&format!("a:4:8: error: `rate`: {form}")]);
    }
    let text = RATE.replace("\"5/s\"", "5");
    expect(&text, &["a:4:8: error: `rate` must be a rate such as \"50/s\", not an integer"]);
    let text = endpoint(&format!("{SERVES}capacity = 1\nramp = \"5\"\n"));
    let form = "a duration needs a unit, for example \"300ms\"";
    expect(&text, &[&format!("a:16:8: error: `ramp`: {form}")]);
    let text = endpoint(&format!("{SERVES}capacity = 1\n"))
        + "[[route]]\nname = \"c\"\npath = \"/c\"\nkind = \"chat\"\nmax_body = \"64KB\"\n";
    let form = "a size needs one of the units B, KiB, MiB, GiB, for example \"64KiB\"";
    expect(&text, &[&format!("a:20:12: error: `max_body`: {form}")]);
}

/// Guards against secrets in files, and against findings that quote them.
#[test]
fn plaintext_secrets() {
    let text = format!("[[operator]]\nname = \"o\"\ndigest = \"{SECRET}\"\n");
    let message = "plaintext secret in `digest`; publish only its digest";
    expect(&text, &[&format!("a:4:10: error: {message}")]);
    expect(&text.replace(SECRET, "ps_short"), &[&format!("a:4:10: error: {message}")]);
    let text = format!("[[operator]]\nname = \"{SECRET}\"\ndigest = \"{}\"\n", digest('0'));
    let message = "plaintext secret in `name`; publish only its digest";
    expect(&text, &[&format!("a:3:8: error: {message}")]);
    let text = format!("{SECRET} = 1\n[[zone]]\nname = \"z\"\nstate = \"in\"\n{SECRET} = 1\n");
    assert!(!findings(&[("a", &text)]).contains(SECRET));
    let text = format!("[[operator]]\nname = \"o\"\ndigest = \"{}\"\n", digest('x'));
    let message = "a digest is written as \"blake3:\" and 64 hexadecimal digits";
    expect(&text, &[&format!("a:4:10: error: `digest`: {message}")]);
}

/// Guards against a value of the wrong type being replaced by the default.
#[test]
fn wrong_types() {
    let text = endpoint("address = 80\nmodels = [5]\ncapacity = \"1\"\nleaving = 1\n");
    expect(
        &text,
        &[
            "a:13:11: error: `address` must be an address such as \"127.0.0.1:9000\", not an integer",
            "a:14:11: error: elements of `models` must be strings, not an integer",
            "a:15:12: error: `capacity` must be an integer without a unit, not a string",
            "a:16:11: error: `leaving` must be true or false, not an integer",
        ],
    );
}

/// Guards against a malformed line that hides all other findings or causes false ones.
#[test]
fn malformed_toml() {
    let team = "[[team]]\nname = \"t\"\nrate = \"lost\"\n[[team]]\nname = \"u\"\nrate = \"s\"\n";
    let text = format!("[[rate]\nname = \"lost\"\n{team}");
    expect(
        &text,
        &[
            "a:2:8: error: malformed TOML: unclosed array table, expected `]`",
            "a:9:8: error: unknown rate \"s\"",
        ],
    );
}

/// Guards against files of another format version being read as this one.
#[test]
fn format_line() {
    assert_eq!(findings(&[("a", RATE)]), "a:1:1: error: missing `format = 1`");
    let message = "a:1:10: error: unsupported format; this version reads format 1";
    assert_eq!(findings(&[("a", "format = 2\n")]), message);
    let message = "a:1:10: error: `format` must be the integer 1, not a string";
    assert_eq!(findings(&[("a", "format = \"1\"\n")]), message);
}

/// Guards against a set in which every zone is out, so that no request can run.
#[test]
fn zones_out() {
    let zone = "[[zone]]\nname = \"z\"\nstate = \"out\"\n";
    expect(zone, &["a:4:9: error: every zone is out; at least one must be in"]);
    expect(&format!("{zone}[[zone]]\nname = \"y\"\nstate = \"in\"\n"), &[]);
}

/// Guards against paths, addresses, model names and digests that identify two objects.
#[test]
fn conflicts() {
    let base = endpoint("address = \"127.0.0.1:80\"\nservice = \"s\"\ncapacity = 1\n");
    let route = |name: &str, path: &str| {
        format!(
            "[[route]]\nname = \"{name}\"\npath = \"{path}\"\nkind = \"service\"\nservice = \"s\"\n"
        )
    };
    let text = format!("{base}{}{}{}", route("a", "/x"), route("b", "/x/"), route("c", "/x/y"));
    expect(&text, &["a:23:8: error: the path overlaps with route `a`, see a:18:8"]);
    let same_address = "[[endpoint]]\nname = \"f\"\nzone = \"z\"\naddress = \"127.0.0.1:80\"\nservice = \"s\"\ncapacity = 1\n";
    let message = "a:19:11: error: endpoint `e` has the same address 127.0.0.1:80, see a:13:11";
    expect(&format!("{base}{same_address}"), &[message]);
    let model = |name: &str, aliases: &str| {
        format!(
            "[[model]]\nname = \"{name}\"\nmax_context = 9\nmax_output = 9\nversion = \"1\"\n\
             aliases = [{aliases}]\n"
        )
    };
    expect(
        &format!("{}{}", model("m", "\"x\", \"n\""), model("n", "\"x\"")),
        &[
            "a:7:17: error: alias `n` is the name of a model, see a:9:8",
            "a:13:12: error: model `m` has the same alias, see a:7:12",
        ],
    );
    let key =
        |name: &str| format!("[[operator]]\nname = \"{name}\"\ndigest = \"{}\"\n", digest('0'));
    let message = "a:7:10: error: another operator has the same digest, see a:4:10";
    expect(&format!("{}{}", key("o"), key("p")), &[message]);
}

/// Guards against fields of one object that contradict each other.
#[test]
fn contradictions() {
    let text = endpoint(&format!("{SERVES}capacity = 2\ncold_capacity = 3\n"));
    expect(&text, &["a:16:17: error: `cold_capacity` is 3, above `capacity` 2"]);
    let text =
        endpoint(&format!("{SERVES}capacity = 2\n")).replace("max_output = 10", "max_output = 11");
    expect(&text, &["a:8:14: error: `max_output` is 11, above `max_context` 10"]);
    let text = endpoint(&format!("{SERVES}service = \"s\"\ncapacity = 2\n"));
    let message = "a:15:11: error: an endpoint has either `models` or `service`, not both";
    expect(&text, &[message]);
    expect(
        "[[route]]\nname = \"c\"\npath = \"/v1/models\"\nkind = \"service\"\nmodel = \"m\"\n",
        &[
            "a:4:8: error: the path `/v1/models` is reserved",
            "a:6:9: error: a service route has no `model`",
        ],
    );
}

/// Guards against findings in reading order instead of sorted by file, line and column.
#[test]
fn sorted_over_files() {
    let text = "format = 1\n[[zone]]\nname = \"Ä\"\nstate = 1\n# ä\n";
    let found = findings(&[("b", text), ("a", "x = \"ä\", y = 1\n")]);
    let positions: Vec<_> = found.lines().map(|line| line.split(": ").next().unwrap()).collect();
    assert_eq!(positions, ["a:1:1", "a:1:1", "a:1:8", "b:3:8", "b:4:9"]);
}
