package io.masticlane.schema;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import javax.lang.model.element.Modifier;

import com.fasterxml.jackson.databind.JsonNode;
import com.palantir.javapoet.ArrayTypeName;
import com.palantir.javapoet.ClassName;
import com.palantir.javapoet.CodeBlock;
import com.palantir.javapoet.FieldSpec;
import com.palantir.javapoet.JavaFile;
import com.palantir.javapoet.MethodSpec;
import com.palantir.javapoet.ParameterSpec;
import com.palantir.javapoet.ParameterizedTypeName;
import com.palantir.javapoet.TypeName;
import com.palantir.javapoet.TypeSpec;

/**
 * Generates the sealed message interface with a nested record for each message.
 */
final class MessageGenerator {

	private static final ClassName PACKER = ClassName.get("org.msgpack.core", "MessagePacker");

	private static final ClassName UNPACKER = ClassName.get("org.msgpack.core", "MessageUnpacker");

	private static final Map<String, TypeName> TYPES = Map.of("int", TypeName.INT, "long", TypeName.LONG, "double",
			TypeName.DOUBLE, "boolean", TypeName.BOOLEAN, "string", ClassName.get(String.class), "bytes",
			ArrayTypeName.of(TypeName.BYTE), "counts",
			ParameterizedTypeName.get(ClassName.get(Map.class), ClassName.get(String.class), TypeName.LONG.box()));

	private MessageGenerator() {
	}

	static void generate(JsonNode schema, Path sources) throws IOException {
		String packageName = schema.get("package").asText();
		ClassName message = ClassName.get(packageName, "Message");
		List<JsonNode> messages = elements(schema.get("messages"));
		TypeSpec.Builder type = TypeSpec.interfaceBuilder(message)
			.addModifiers(Modifier.PUBLIC, Modifier.SEALED)
			.addJavadoc("A message between entry hosts, generated from the schema.\n")
			.addField(FieldSpec.builder(TypeName.INT, "PROTOCOL_VERSION")
				.addModifiers(Modifier.PUBLIC, Modifier.STATIC, Modifier.FINAL)
				.initializer("$L", schema.get("protocolVersion").asInt())
				.addJavadoc("The version of the peer protocol that this schema describes.\n")
				.build())
			.addMethod(MethodSpec.methodBuilder("encode")
				.addModifiers(Modifier.PUBLIC, Modifier.ABSTRACT)
				.addParameter(PACKER, "packer")
				.addException(IOException.class)
				.addJavadoc("Writes this message as a MessagePack array of its tag and fields.\n"
						+ "@param packer the packer to write to\n" + "@throws IOException if the packer fails\n")
				.build())
			.addMethod(decode(message, messages));
		messages.forEach((each) -> type.addType(record(message, each)));
		JavaFile.builder(packageName, type.build()).indent("\t").skipJavaLangImports(true).build().writeTo(sources);
	}

	private static MethodSpec decode(ClassName message, List<JsonNode> messages) {
		CodeBlock.Builder code = CodeBlock.builder()
			.addStatement("int size = unpacker.unpackArrayHeader()")
			.addStatement("int tag = unpacker.unpackInt()")
			.addStatement("$T decoded", message)
			.beginControlFlow("switch (tag)");
		messages.forEach((each) -> code.add("case $L:\n", each.get("tag").asInt())
			.indent()
			.addStatement("MessageFrame.checkSize(tag, size, $L)", requiredFields(each) + 1)
			.addStatement("decoded = $T.decodeFields(unpacker)", message.nestedClass(each.get("name").asText()))
			.addStatement((requiredFields(each) < each.get("fields").size())
					? "unpacker.skipValue(Math.max(0, size - $L))" : "unpacker.skipValue(size - $L)",
					each.get("fields").size() + 1)
			.addStatement("break")
			.unindent());
		code.add("default:\n")
			.indent()
			.addStatement("throw new $T($S + tag)", ClassName.get(message.packageName(), "MalformedMessageException"),
					"unknown message tag ")
			.unindent()
			.endControlFlow()
			.addStatement("return decoded");
		return MethodSpec.methodBuilder("decode")
			.addModifiers(Modifier.PUBLIC, Modifier.STATIC)
			.returns(message)
			.addParameter(UNPACKER, "unpacker")
			.addException(IOException.class)
			.addJavadoc("Reads a message. Fields appended by a later schema are skipped, and appended fields\n"
					+ "that the sender's schema does not have are empty.\n"
					+ "@param unpacker the unpacker to read from\n@return the message\n"
					+ "@throws IOException if the bytes are not a valid message of a known type\n")
			.addCode(code.build())
			.build();
	}

	private static TypeSpec record(ClassName message, JsonNode schema) {
		String name = schema.get("name").asText();
		List<JsonNode> fields = elements(schema.get("fields"));
		MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
		fields
			.forEach((field) -> constructor.addParameter(ParameterSpec.builder(type(field), field.get("name").asText())
				.addJavadoc("$L\n", parameterText(field.get("doc").asText()))
				.build()));
		CodeBlock.Builder encode = CodeBlock.builder()
			.addStatement("packer.packArrayHeader($L)", fields.size() + 1)
			.addStatement("packer.packInt($L)", schema.get("tag").asInt());
		fields.forEach((field) -> encode.add(pack(field)));
		return TypeSpec.recordBuilder(name)
			.addModifiers(Modifier.PUBLIC, Modifier.STATIC)
			.recordConstructor(constructor.build())
			.addSuperinterface(message)
			.addJavadoc("$L\n", schema.get("doc").asText())
			.addMethod(MethodSpec.methodBuilder("encode")
				.addAnnotation(Override.class)
				.addModifiers(Modifier.PUBLIC)
				.addParameter(PACKER, "packer")
				.addException(IOException.class)
				.addCode(encode.build())
				.build())
			.addMethod(decodeFields(message.nestedClass(name), fields))
			.build();
	}

	private static MethodSpec decodeFields(ClassName type, List<JsonNode> fields) {
		CodeBlock.Builder code = CodeBlock.builder();
		fields.forEach(
				(field) -> code.addStatement("$T $L = $L", type(field), field.get("name").asText(), unpack(field)));
		String names = fields.stream().map((field) -> field.get("name").asText()).collect(Collectors.joining(", "));
		return MethodSpec.methodBuilder("decodeFields")
			.addModifiers(Modifier.PRIVATE, Modifier.STATIC)
			.returns(type)
			.addParameter(UNPACKER, "unpacker")
			.addException(IOException.class)
			.addCode(code.addStatement("return new $T($L)", type, names).build())
			.build();
	}

	private static CodeBlock pack(JsonNode field) {
		String name = field.get("name").asText();
		String fieldType = field.get("type").asText();
		if (fieldType.equals("bytes")) {
			return CodeBlock.builder()
				.addStatement("packer.packBinaryHeader(this.$L.length)", name)
				.addStatement("packer.writePayload(this.$L)", name)
				.build();
		}
		if (fieldType.equals("counts")) {
			return CodeBlock.builder().addStatement("MessageFrame.packCounts(packer, this.$L)", name).build();
		}
		return CodeBlock.builder().addStatement("packer.pack$L(this.$L)", upperFirst(fieldType), name).build();
	}

	private static String unpack(JsonNode field) {
		if (isAppended(field)) {
			return "unpacker.hasNext() ? " + read(field) + " : Map.of()";
		}
		return read(field);
	}

	private static String read(JsonNode field) {
		String fieldType = field.get("type").asText();
		return switch (fieldType) {
			case "bytes" -> "MessageFrame.readBytes(unpacker)";
			case "counts" -> "MessageFrame.readCounts(unpacker)";
			default -> "unpacker.unpack" + upperFirst(fieldType) + "()";
		};
	}

	/**
	 * Returns the number of required fields, which all senders write. The other fields
	 * were appended later, and senders with an earlier schema omit them.
	 * @param message the schema of a message
	 * @return the number of required fields
	 */
	private static int requiredFields(JsonNode message) {
		return (int) elements(message.get("fields")).stream().filter((field) -> !isAppended(field)).count();
	}

	private static boolean isAppended(JsonNode field) {
		return field.path("appended").asBoolean();
	}

	private static TypeName type(JsonNode field) {
		return TYPES.get(field.get("type").asText());
	}

	private static List<JsonNode> elements(JsonNode array) {
		return StreamSupport.stream(array.spliterator(), false).toList();
	}

	private static String upperFirst(String text) {
		return text.substring(0, 1).toUpperCase(Locale.ROOT) + text.substring(1);
	}

	private static String parameterText(String text) {
		String first = text.substring(0, 1).toLowerCase(Locale.ROOT);
		return first + text.substring(1, text.length() - (text.endsWith(".") ? 1 : 0));
	}

}
