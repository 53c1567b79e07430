//! Validation of the settings with which a proxy connects to the control servers.

use gaugestep_config::schema;
use gaugestep_control_plane::client::SubscriberSettings;

fn control() -> schema::Control {
    schema::Control {
        services: vec!["127.0.0.1:9400".into(), "127.0.0.1:9402".into()],
        state: "state".into(),
        ..schema::Control::default()
    }
}

fn keys() -> schema::Keys {
    schema::Keys { certificate: "certificate".into(), key: "key".into(), authority: "authority".into() }
}

fn settings(config: &schema::Control) -> Result<SubscriberSettings, String> {
    SubscriberSettings::from_config(config, "p0", "1.0", 7).map_err(|error| error.to_string())
}

#[test]
fn servers_and_directory_come_from_the_file() {
    let settings = settings(&control()).expect("the settings are valid");
    assert_eq!((settings.proxy.as_str(), settings.build.as_str(), settings.seed), ("p0", "1.0", 7));
    let servers: Vec<String> = settings.servers.iter().map(ToString::to_string).collect();
    assert_eq!(servers, ["127.0.0.1:9400", "127.0.0.1:9402"]);
    assert_eq!(settings.state_directory.to_str(), Some("state"));
    assert!(settings.tls.is_none());
}

#[test]
fn only_loopback_servers_are_allowed_without_keys() {
    let distant = schema::Control { services: vec!["192.0.2.1:1".into()], ..control() };
    let expected = "192.0.2.1:1: without keys only loopback addresses are allowed";
    assert_eq!(settings(&distant).err().as_deref(), Some(expected));

    let with_keys = schema::Control { keys: Some(keys()), service_name: "group".into(), ..distant };
    let tls = settings(&with_keys).expect("the settings are valid").tls.expect("the file names keys");
    assert_eq!(tls.server_name, "group");
    assert_eq!(tls.files.authority.to_str(), Some("authority"));
}

#[test]
fn an_error_names_the_field_and_its_value() {
    let with_keys = |keys| schema::Control { keys: Some(keys), service_name: "group".into(), ..control() };
    let faults = [
        (schema::Control { services: Vec::new(), ..control() }, "'control.services' is missing"),
        (
            schema::Control { services: vec!["here".into()], ..control() },
            "'control.services' names 'here', no address",
        ),
        (schema::Control { state: String::new(), ..control() }, "'control.state' is missing"),
        (schema::Control { keys: Some(keys()), ..control() }, "'control.service_name' is missing"),
        (with_keys(schema::Keys { key: String::new(), ..keys() }), "'keys.key' is missing"),
    ];
    for (config, expected) in faults {
        assert_eq!(settings(&config).err().as_deref(), Some(expected));
    }
}
