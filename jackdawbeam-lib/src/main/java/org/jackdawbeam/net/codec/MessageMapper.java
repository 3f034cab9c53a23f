package org.jackdawbeam.net.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.jackdawbeam.model.error.ErrorCode;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.jackdawbeam.model.fleet.FeedEntry;
import org.jackdawbeam.model.fleet.FleetMessage;
import org.jackdawbeam.model.log.LogRecord;
import org.jackdawbeam.model.operator.OperatorAnswer;
import org.jackdawbeam.model.peer.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Serializes records of the model to JSON or MessagePack. For types of sealed hierarchies the property {@code type}
 * holds the simple class name.
 */
public final class MessageMapper {
    private final ObjectMapper mapper;

    private MessageMapper(JsonFactory factory) {
        this.mapper = new ObjectMapper(factory);
        mapper.registerModule(new Jdk8Module());
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        mapper.addMixIn(FleetMessage.ModelDemand.class, WithoutZeroWait.class);
        registerHierarchy(LogRecord.class);
        registerHierarchy(PeerMessage.class);
        registerHierarchy(FleetMessage.class);
        registerHierarchy(FeedEntry.class);
        registerHierarchy(OperatorAnswer.class);
    }

    /** Returns a mapper for JSON. */
    public static MessageMapper json() {
        return new MessageMapper(new JsonFactory());
    }

    /** Returns a mapper for MessagePack. */
    public static MessageMapper messagePack() {
        return new MessageMapper(new MessagePackFactory());
    }

    /** Returns the underlying Jackson mapper, for trees and generic values. */
    public ObjectMapper objectMapper() {
        return mapper;
    }

    /** Serializes a value. */
    public byte[] write(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new JackdawbeamException(ErrorCode.INTERNAL, "value cannot be encoded", e);
        }
    }

    /**
     * Deserializes a value.
     *
     * @throws JackdawbeamException with {@link ErrorCode#MESSAGE_MALFORMED} if the bytes are not valid for the type
     */
    public <T> T read(byte[] bytes, Class<T> type) {
        try {
            T value = mapper.readValue(bytes, type);
            if (value != null) {
                return value;
            }
        } catch (IOException | RuntimeException e) {
            throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, "not a valid " + type.getSimpleName(), e);
        }
        throw new JackdawbeamException(ErrorCode.MESSAGE_MALFORMED, type.getSimpleName() + " is missing");
    }

    private void registerHierarchy(Class<?> sealedType) {
        mapper.addMixIn(sealedType, SimpleClassNameTypeInfo.class);
        for (Class<?> subtype : sealedType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(subtype, subtype.getSimpleName()));
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface SimpleClassNameTypeInfo {}

    /** Leaves out the wait of models that nobody waits for, the great majority in each heartbeat. */
    private interface WithoutZeroWait {
        @JsonInclude(JsonInclude.Include.NON_DEFAULT)
        long waitedMillis();
    }
}
