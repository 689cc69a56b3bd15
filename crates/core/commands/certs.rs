//! Generates certificates for the peer port.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::Path,
    process::ExitCode,
};

use anyhow::{Context, Result};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::flags::CertsFlags;

/// File stem and DNS name of each certificate. The peer port distinguishes instances from operators
/// by the DNS name.
const CERTIFICATES: [(&str, &str); 2] =
    [("instance", "instance.poplarspan.internal"), ("operator", "operator.poplarspan.internal")];

/// File that is written last, so its existence shows that the folder is complete.
const LAST_FILE: &str = "operator.key";

pub(crate) fn run(flags: &CertsFlags) -> Result<ExitCode> {
    if flags.keep && flags.out.join(LAST_FILE).exists() {
        println!("keeping the existing certificates in {}", flags.out.display());
        return Ok(ExitCode::SUCCESS);
    }
    fs::create_dir_all(&flags.out)
        .with_context(|| format!("cannot create {}", flags.out.display()))?;
    create_all(&flags.out)?;
    println!("wrote authority, instance and operator certificates to {}", flags.out.display());
    Ok(ExitCode::SUCCESS)
}

/// Creates a certificate authority, a certificate for instances and one for operators, each with
/// its private key. Fails if one of the files exists.
pub(crate) fn create_all(folder: &Path) -> Result<()> {
    let authority_key = KeyPair::generate()?;
    let mut authority = CertificateParams::default();
    authority.distinguished_name.push(DnType::CommonName, "poplarspan authority");
    authority.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    authority.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let certificate = authority.self_signed(&authority_key)?;
    create_file(folder, "authority.pem", &certificate.pem())?;
    create_file(folder, "authority.key", &authority_key.serialize_pem())?;
    let issuer = Issuer::new(authority, authority_key);
    for (file_stem, name) in CERTIFICATES {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![name.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, name);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &issuer)?;
        create_file(folder, &format!("{file_stem}.pem"), &certificate.pem())?;
        create_file(folder, &format!("{file_stem}.key"), &key.serialize_pem())?;
    }
    Ok(())
}

fn create_file(folder: &Path, name: &str, text: &str) -> Result<()> {
    let path = folder.join(name);
    // Private keys must only be readable by their owner.
    let mode = if name.ends_with(".key") { 0o600 } else { 0o644 };
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&path)
        .with_context(|| format!("cannot create {}", path.display()))?;
    file.write_all(text.as_bytes()).with_context(|| format!("cannot write {}", path.display()))
}
