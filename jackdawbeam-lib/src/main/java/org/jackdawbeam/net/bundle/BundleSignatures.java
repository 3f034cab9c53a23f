package org.jackdawbeam.net.bundle;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import org.jackdawbeam.logic.configuration.SignatureVerifier;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.log.LogRecord.BundleRolled;

/** Signs bundles and verifies signatures with Ed25519. Keys are Base64 of PKCS #8 (private) or X.509 (public). */
public final class BundleSignatures {
    private static final String ALGORITHM = "Ed25519";

    private BundleSignatures() {}

    /** A key pair in Base64. */
    public record EncodedKeys(String privateKey, String publicKey) {}

    /** Generates a key pair. */
    public static EncodedKeys generate() {
        try {
            KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
            Base64.Encoder encoder = Base64.getEncoder();
            return new EncodedKeys(
                    encoder.encodeToString(pair.getPrivate().getEncoded()),
                    encoder.encodeToString(pair.getPublic().getEncoded()));
        } catch (GeneralSecurityException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "Ed25519 is not available", e);
        }
    }

    /** Signs the version together with the document and returns the signature in Base64. */
    public static String sign(String privateKey, long version, String document) {
        try {
            PrivateKey key = KeyFactory.getInstance(ALGORITHM)
                    .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(privateKey.trim())));
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(key);
            signature.update(signedBytes(version, document));
            return Base64.getEncoder().encodeToString(signature.sign());
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new JackdawbeamException(ErrorCode.KEY_MATERIAL_INVALID, "the signing key cannot be used", e);
        }
    }

    /** Returns a verifier of signatures by the operators' key. */
    public static SignatureVerifier verifier(String publicKey) {
        PublicKey key = publicKey(publicKey);
        return bundle -> verify(key, bundle);
    }

    private static PublicKey publicKey(String encoded) {
        try {
            return KeyFactory.getInstance(ALGORITHM)
                    .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(encoded.trim())));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new JackdawbeamException(
                    ErrorCode.KEY_MATERIAL_INVALID, "the operators' public key cannot be read", e);
        }
    }

    private static boolean verify(PublicKey key, BundleRolled bundle) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initVerify(key);
            signature.update(signedBytes(bundle.version(), bundle.document()));
            return signature.verify(Base64.getDecoder().decode(bundle.signature()));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }

    private static byte[] signedBytes(long version, String document) {
        return (version + "\n" + document).getBytes(StandardCharsets.UTF_8);
    }
}
