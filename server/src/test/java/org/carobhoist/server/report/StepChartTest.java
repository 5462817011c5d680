package org.carobhoist.server.report;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayInputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import javax.xml.parsers.DocumentBuilderFactory;
import org.carobhoist.core.report.StepLoss;
import org.carobhoist.core.report.StepLoss.Cause;
import org.junit.jupiter.api.Test;
import org.w3c.dom.Document;

final class StepChartTest {

  @Test
  void chartIsWellFormedAndHasRowForEachStep() throws Exception {
    StepLoss step =
        new StepLoss(
            "job <1>",
            8,
            Duration.ofSeconds(2),
            Duration.ofSeconds(3),
            Map.of(Cause.WAITING, Duration.ofSeconds(1)));
    StringWriter out = new StringWriter();
    StepChart.write(List.of(step, step), out);
    Document svg =
        DocumentBuilderFactory.newInstance()
            .newDocumentBuilder()
            .parse(new ByteArrayInputStream(out.toString().getBytes(StandardCharsets.UTF_8)));
    int causes = Cause.values().length;
    assertThat(svg.getElementsByTagName("text").getLength()).isEqualTo(causes + 2);
    assertThat(svg.getElementsByTagName("rect").getLength()).isEqualTo(causes + 2 * (causes + 2));
  }
}
