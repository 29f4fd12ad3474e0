package org.skylarkbend.base.settings;

import static org.assertj.core.api.Assertions.assertThat;

import org.skylarkbend.base.Result;
import org.testng.annotations.Test;

/** Checks the parsing of YAML documents and the reporting of problems. */
public class YamlDocumentTest {
    @Test
    public void everyProblemIsListedWithFileLineAndPath() {
        String yaml = "port: 99999\nname: Not A Name\nextra: 1\n";
        Result<String> result =
                YamlDocument.readText(
                        "router.yaml",
                        yaml,
                        root -> {
                            root.integer("port", 1, 65_535);
                            root.name("name");
                            root.text("host");
                            return "unused";
                        });
        String detail = result.fold(value -> value, error -> error.detail());
        assertThat(detail.lines())
                .anyMatch(line -> line.startsWith("router.yaml:1: port: 99999 is out of range"))
                .anyMatch(line -> line.startsWith("router.yaml:2: name: "))
                .anyMatch(line -> line.startsWith("router.yaml:1: host: the field is missing"))
                .anyMatch(line -> line.startsWith("router.yaml:3: extra: unknown field"))
                .hasSize(4);
    }

    @Test
    public void aDocumentThatIsNotYamlIsRefusedWithItsLine() {
        Result<String> result = YamlDocument.readText("a.yaml", "a: 1\nb: [", root -> "unused");
        String detail = result.fold(value -> value, error -> error.detail());
        assertThat(detail).startsWith("a.yaml:2: : not YAML");
    }

    @Test
    public void anEmptyDocumentIsRefused() {
        assertThat(YamlDocument.readText("a.yaml", "", root -> "unused").isSuccess()).isFalse();
    }

    @Test
    public void aDocumentWithAliasesOfCollectionsIsRefused() {
        String yaml = "a: &a [1, 2]\nb: [*a, *a]\n";
        Result<Object> result = YamlDocument.readText("a.yaml", yaml, root -> root.texts("a"));
        assertThat(result.isSuccess()).isFalse();
    }
}
