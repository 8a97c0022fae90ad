package io.masticlane.schema;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import javax.lang.model.element.Modifier;

import com.fasterxml.jackson.databind.JsonNode;
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
 * Generates a record for each group of settings.
 */
final class SettingsGenerator {

	private static final ClassName ADDRESS = ClassName.get("java.net", "InetSocketAddress");

	private static final Map<String, TypeName> TYPES = Map.of("string", ClassName.get(String.class), "address", ADDRESS,
			"addresses", ParameterizedTypeName.get(ClassName.get(List.class), ADDRESS), "integer", TypeName.INT,
			"decimal", TypeName.DOUBLE);

	private SettingsGenerator() {
	}

	static void generate(JsonNode schema, Path sources) throws IOException {
		String packageName = schema.get("package").asText();
		for (JsonNode group : schema.get("groups")) {
			JavaFile.builder(packageName, record(packageName, group))
				.indent("\t")
				.skipJavaLangImports(true)
				.build()
				.writeTo(sources);
		}
	}

	private static TypeSpec record(String packageName, JsonNode group) {
		ClassName type = ClassName.get(packageName, group.get("name").asText());
		ClassName setting = ClassName.get(packageName, "Setting");
		List<JsonNode> settings = StreamSupport.stream(group.get("settings").spliterator(), false).toList();
		MethodSpec.Builder constructor = MethodSpec.constructorBuilder();
		settings.forEach((each) -> constructor
			.addParameter(ParameterSpec.builder(TYPES.get(each.get("type").asText()), camelCase(each))
				.addJavadoc("$L\n", each.get("doc").asText())
				.build()));
		CodeBlock descriptors = settings.stream()
			.map((each) -> descriptor(setting, each))
			.collect(CodeBlock.joining(",\n"));
		String values = settings.stream()
			.map((each) -> "source." + each.get("type").asText() + "(\"" + each.get("name").asText() + "\")")
			.collect(Collectors.joining(", "));
		return TypeSpec.recordBuilder(type)
			.addModifiers(Modifier.PUBLIC)
			.recordConstructor(constructor.build())
			.addJavadoc("$L\n", group.get("doc").asText())
			.addField(FieldSpec
				.builder(ParameterizedTypeName.get(ClassName.get(List.class), setting), "DESCRIPTORS", Modifier.PUBLIC,
						Modifier.STATIC, Modifier.FINAL)
				.addJavadoc("The descriptors of all settings of this group.\n")
				.initializer("$T.of($L)", List.class, descriptors)
				.build())
			.addMethod(MethodSpec.methodBuilder("from")
				.addModifiers(Modifier.PUBLIC, Modifier.STATIC)
				.returns(type)
				.addParameter(ClassName.get(packageName, "SettingSource"), "source")
				.addJavadoc("Reads the settings from a source.\n"
						+ "@param source the source of values\n@return the validated settings\n")
				.addStatement("return new $T($L)", type, values)
				.build())
			.build();
	}

	private static CodeBlock descriptor(ClassName setting, JsonNode schema) {
		String defaultLiteral = schema.has("default") ? "\"" + schema.get("default").asText() + "\"" : "null";
		return CodeBlock.of("new $T($S, $S, $S, $L, $L, $L, $S)", setting, schema.get("name").asText(),
				SettingsPage.environmentVariable(schema), schema.get("type").asText(), defaultLiteral,
				schema.has("minimum") ? schema.get("minimum").asLong() + "L" : "0L",
				schema.has("maximum") ? schema.get("maximum").asLong() + "L" : "0L", schema.get("doc").asText());
	}

	private static String camelCase(JsonNode setting) {
		String[] words = setting.get("name").asText().split("-");
		StringBuilder name = new StringBuilder(words[0]);
		for (int index = 1; index < words.length; index++) {
			name.append(words[index].substring(0, 1).toUpperCase()).append(words[index].substring(1));
		}
		return name.toString();
	}

}
