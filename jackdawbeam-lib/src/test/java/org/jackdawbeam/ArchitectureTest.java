package org.jackdawbeam;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.jackdawbeam.model.error.JackdawbeamException;
import org.junit.jupiter.api.Test;

class ArchitectureTest {
    private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.jackdawbeam");

    @Test
    void modelDependsOnlyOnTheJavaLibrary() {
        classes()
                .that()
                .resideInAPackage("org.jackdawbeam.model..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("java..", "org.jackdawbeam.model..")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void logicPerformsNoInputOrOutput() {
        classes()
                .that()
                .resideInAPackage("org.jackdawbeam.logic..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "java.lang..",
                        "java.util..",
                        "java.security..",
                        "java.nio.charset..",
                        "org.pcollections..",
                        "org.jackdawbeam.model..",
                        "org.jackdawbeam.logic..")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void logicDoesNotReadTheClock() {
        noClasses()
                .that()
                .resideInAPackage("org.jackdawbeam.logic..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void logicHasNoCycles() {
        slices().matching("org.jackdawbeam.logic.(*)..")
                .should()
                .beFreeOfCycles()
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void exceptionsExtendJackdawbeamException() {
        classes()
                .that()
                .resideInAPackage("org.jackdawbeam..")
                .and()
                .areAssignableTo(Throwable.class)
                .should()
                .beAssignableTo(JackdawbeamException.class)
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void noClassStartsAProcess() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.lang.ProcessBuilder")
                .check(PRODUCTION_CLASSES);
    }
}
